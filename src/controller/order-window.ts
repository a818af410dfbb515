/**
 * Decides how long orders may rest on what the leader has read from the store. A follower of the store can fall silent
 * while other calls are answered, and its content then looks as it did seconds ago: a worker that is leaving looks
 * ready. Each view therefore has an age that its orders must not exceed when the worker carries them out.
 */

/** Share of the greatest age that is left for clocks that differ and for the way to the worker. */
const MARGIN_SHARE = 0.1;
/** No order is sent on an older view; a worker must have time to receive it, and the run needs some lease. */
const SENDING_SHARE = 0.75;
/** Nothing is placed on an older view, because the record of the order takes until 240 ms to become durable. */
const PLACEMENT_SHARE = 0.6;
/**
 * Shares of the greatest age for the calls of a follower. A listing follows the first watch that ends after the
 * interval of listings. A slow store adds 240 ms to each call, which the slack covers on sites with a greatest age of 2 s;
 * the view's age then stays within the share for placement, and also if a watch gets no response.
 */
const WATCH_WAIT_SHARE = 0.15;
const WATCH_SLACK_SHARE = 1 / 6;
const LISTING_SHARE = 0.25;
/** Share of the greatest age after which the view is listed again, because only listings confirm it. */
const LISTING_INTERVAL_SHARE = 0.25;
/** Longer calls would only detect a dead connection later. */
const MAX_WATCH_WAIT_MS = 1500;
const MAX_WATCH_SLACK_MS = 700;
const MAX_LISTING_MS = 1000;

/** What a follower has read, of which an order must not act on a content that is older than `maxAgeMs`. */
export interface ConfirmedView {
  /** When the content was current for certain, in monotonic milliseconds. */
  readonly confirmedAt: () => number;
  readonly maxAgeMs: number;
}

/** Monotonic time after which no order may reach a worker because of what the view shows. */
export function latestOrderAt({ confirmedAt, maxAgeMs }: ConfirmedView): number {
  return confirmedAt() + (1 - MARGIN_SHARE) * maxAgeMs;
}

export interface OrderWindow {
  /** Whether tasks may be placed, whose orders are sent when their record is durable. */
  readonly allowsPlacement: boolean;
  /** Milliseconds within which an order that is sent now has to reach its worker; 0 if none may be sent. */
  remainingMs(): number;
}

export interface OrderWindowOptions {
  readonly views: readonly ConfirmedView[];
  /** Monotonic milliseconds. */
  readonly now?: () => number;
}

export function createOrderWindow(options: OrderWindowOptions): OrderWindow {
  const { views, now = () => performance.now() } = options;

  function isWithin(share: number): boolean {
    return views.every(({ confirmedAt, maxAgeMs }) => now() - confirmedAt() <= share * maxAgeMs);
  }

  return {
    get allowsPlacement() {
      return isWithin(PLACEMENT_SHARE);
    },
    remainingMs: () => {
      if (!isWithin(SENDING_SHARE)) return 0;
      return Math.min(...views.map(latestOrderAt)) - now();
    },
  };
}

/** Calls of a follower whose content must not grow older than `maxAgeMs`. */
export interface FollowTiming {
  readonly waitMs: number;
  readonly watchTimeoutMs: number;
  readonly listTimeoutMs: number;
  readonly confirmedBy: 'listings';
}

export function followTiming(maxAgeMs: number): FollowTiming {
  const waitMs = Math.round(Math.min(MAX_WATCH_WAIT_MS, WATCH_WAIT_SHARE * maxAgeMs));
  const slackMs = Math.round(Math.min(MAX_WATCH_SLACK_MS, WATCH_SLACK_SHARE * maxAgeMs));
  return {
    waitMs,
    watchTimeoutMs: waitMs + slackMs,
    listTimeoutMs: Math.round(Math.min(MAX_LISTING_MS, LISTING_SHARE * maxAgeMs)),
    confirmedBy: 'listings',
  };
}

/** Interval of listings that show a change in time for orders although the watch has missed it. */
export function listingIntervalMs(maxAgeMs: number): number {
  return Math.round(LISTING_INTERVAL_SHARE * maxAgeMs);
}
