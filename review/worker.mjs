/* global performance, setTimeout, clearTimeout, setInterval, clearInterval, Buffer */
/**
 * Stand-in for a worker, as PROTOCOL.md describes it under "Running tasks" and "Service discovery". Its tasks take
 * real time. Each start and end is reported with the time at which it happened.
 */
import { createServer } from 'node:http';

const MAX_LEASE_MS = 10_000; // hold-max-ms
const STOP_MS = 700; // below stop-timeout-ms, 900
const HEARTBEAT_MS = 1500;

/** Time that a member of a gang waits for the others. */
const GANG_TIMEOUT_MS = 3000;

/**
 * Lets the members of gangs work together on all workers that share it. `sizeOf` gives the number of members from a
 * task's spec, 1 if the task isn't in a gang.
 */
export function createGangs({ sizeOf }) {
  const gangs = new Map();
  return {
    /** Adds a run; `begin` is called when all members are present, `breakOff` when another one has ended otherwise. */
    join: ({ task, run, spec, begin, breakOff }) => {
      const key = `${task.slice(0, task.lastIndexOf('.'))} ${String(run)}`;
      const gang = gangs.get(key) ?? { members: new Map() };
      gangs.set(key, gang);
      gang.members.set(task, { begin, breakOff });
      if (gang.members.size === sizeOf(spec)) {
        for (const member of gang.members.values()) member.begin();
      }
      return {
        end: (how) => {
          gang.members.delete(task);
          if (how === 'done') return;
          for (const member of [...gang.members.values()]) member.breakOff();
        },
      };
    },
  };
}

/**
 * One life of a worker. `workMs` gives the real duration of a task from its spec, `outcome` the way in which it ends
 * by itself, and `record` receives each start and end.
 */
export async function startWorkerLife(options) {
  const { id, port, host, workMs, register, record, outcome = () => 'done' } = options;
  const { room = { cpu: 32_000, 'mem-mb': 131_072, gpu: 0 }, labels = ['a', 'r1-1'] } = options;
  const born = Date.now();
  const bootedAt = performance.now();
  const running = new Map();
  const closedRuns = new Map();
  const sockets = new Set();
  let ended = [];
  let nextEnd = 1;
  let fence = 0;
  let leaseUntil = 0;
  let waiters = [];
  let up = true;
  let sequence = 0;
  let state = 'ready';

  const clock = () => Math.round(performance.now() - bootedAt);

  function extendLease(deadline) {
    if (deadline === undefined) return;
    leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + MAX_LEASE_MS));
  }

  function end(run, how) {
    if (!up || running.get(run.task) !== run) return;
    running.delete(run.task);
    clearTimeout(run.timer);
    closedRuns.set(run.task, Math.max(run.run, closedRuns.get(run.task) ?? 0));
    ended.push([nextEnd, run.task, run.run, how, '']);
    nextEnd += 1;
    record({ worker: id, born, event: 'end', task: run.task, run: run.run, how });
    run.membership?.end(how);
    for (const wake of waiters.splice(0)) wake();
  }

  const leaseTimer = setInterval(() => {
    if (clock() < leaseUntil) return;
    for (const run of [...running.values()]) end(run, 'lapsed');
  }, 20);

  function start(body) {
    if (body['fencing-token'] < fence) return refuse('fence');
    fence = body['fencing-token'];
    if (body['deadline-ms'] < clock()) return refuse('late');
    extendLease(body['deadline-ms']);
    const known = running.get(body.task);
    if (known?.run === body.run) return [200, { 'clock-ms': clock() }];
    if (body.run <= Math.max(closedRuns.get(body.task) ?? 0, known?.run ?? 0)) return refuse('old');
    if (options.isTicketValid?.(body.ticket, body.task, id) === false) return refuse('ticket');
    const takesMs = workMs(body.spec, body.task);
    const run = { task: body.task, run: body.run, startedAt: undefined, takesMs };
    const begin = () => {
      clearTimeout(run.timer);
      run.startedAt = clock();
      run.timer = setTimeout(() => {
        end(run, outcome(body.task, body.run, body.spec));
      }, takesMs);
    };
    running.set(body.task, run);
    record({ worker: id, born, event: 'start', task: run.task, run: run.run });
    if (options.gangs === undefined) begin();
    else {
      run.timer = setTimeout(() => end(run, 'alone'), GANG_TIMEOUT_MS);
      const breakOff = () => end(run, 'broken');
      run.membership = options.gangs.join({ ...body, begin, breakOff });
    }
    return [200, { 'clock-ms': clock() }];
  }

  function stop(body) {
    if (body['fencing-token'] < fence) return refuse('fence');
    fence = body['fencing-token'];
    closedRuns.set(body.task, Math.max(body.run, closedRuns.get(body.task) ?? 0));
    const run = running.get(body.task);
    if (run !== undefined && run.run <= body.run) setTimeout(() => end(run, 'stopped'), STOP_MS);
    return [200, { 'clock-ms': clock() }];
  }

  async function hold(body) {
    if (body['fencing-token'] < fence) return refuse('fence');
    fence = body['fencing-token'];
    extendLease(body['deadline-ms']);
    ended = ended.filter(([number]) => number > body['acked-through']);
    if (ended.length === 0 && body['wait-ms'] > 0) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.min(2000, body['wait-ms']));
        waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const list = [...running.values()].map(({ task, run, startedAt, takesMs }) => {
      const workedMs = startedAt === undefined ? 0 : clock() - startedAt;
      const percent = Math.floor((100 * workedMs) / takesMs);
      return [task, run, '', Math.max(0, Math.min(99, percent))];
    });
    return [200, { 'clock-ms': clock(), born, running: list, ended }];
  }

  function refuse(reason) {
    return [409, { 'clock-ms': clock(), reason }];
  }

  const handlers = { '/run-start': start, '/run-stop': stop, '/hold': hold };
  const server = createServer({ keepAliveTimeout: 120_000 }, (request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', async () => {
      const handler = handlers[request.url];
      let answer = [404, {}];
      if (request.headers['x-sapphirewing-target-instance'] !== id) answer = [421, {}];
      else if (handler !== undefined) {
        answer = await handler(JSON.parse(Buffer.concat(chunks).toString()));
      }
      if (!up) return;
      response.writeHead(answer[0], { 'content-type': 'application/json' });
      response.end(JSON.stringify(answer[1]));
    });
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const address = `${host}:${String(server.address().port)}`;

  function writeEntry() {
    sequence += 1;
    register(id, {
      service: options.service,
      address: options.advertise ?? address,
      zone: options.zone,
      version: 'v1',
      capacity: 8,
      state,
      'cold-remaining-ms': 0,
      'free-capacity': room,
      labels,
      born,
      sequence,
    });
  }
  let heartbeat;

  return {
    id,
    born,
    address,
    get running() {
      return [...running.values()];
    },
    /** Writes the entry in the store, and again with each heartbeat. */
    join: () => {
      writeEntry();
      heartbeat = setInterval(writeEntry, HEARTBEAT_MS);
    },
    /** Ends this life: all that runs is gone, nothing is reported, and connections are reset. */
    crash: async () => {
      up = false;
      clearInterval(heartbeat);
      clearInterval(leaseTimer);
      for (const run of running.values()) {
        clearTimeout(run.timer);
        record({ worker: id, born, event: 'gone', task: run.task, run: run.run });
      }
      running.clear();
      const closed = new Promise((resolve) => server.close(resolve));
      for (const socket of sockets) socket.resetAndDestroy();
      await closed;
    },
  };
}
