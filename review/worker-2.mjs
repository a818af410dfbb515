/**
 * Workers for the scripts of cases 6 to 10, which follow PROTOCOL.md: starts, stops and holds with fence numbers, leases
 * on a steady clock, ends that are listed until they are acknowledged, and gangs whose members work only together.
 */
/* global setTimeout, clearTimeout, setInterval, clearInterval, performance, Buffer */
import { createServer } from 'node:http';

const HOLD_MAX_MS = 10_000;
const PING_MS = 1500;
const STOP_MS = 100;
const GANG_TIMEOUT_MS = 3000;

/**
 * `plan(task, run, spec)` tells what a run does: `workMs` until it ends, `how` it ends, and `gang`, the number of its
 * members, if it is one. `lateMs(worker, path, body)` tells that an order gets no answer, and after how long it is carried
 * out by the worker that then has the id; undefined if it is answered.
 */
export function createPool({ store, record, plan, service = 'rota', lateMs = () => undefined }) {
  /** The present life of each worker, by id. */
  const lives = new Map();
  const gangs = new Map();
  const runs = [];
  const workers = [];

  async function add({ id, cpu = 32_000, memoryMb = 131_072, labels = ['a', 'r1-1'], port = 0 }) {
    const worker = await startWorker({ id, cpu, memoryMb, labels, port });
    workers.push(worker);
    return worker;
  }

  async function startWorker({ id, cpu, memoryMb, labels, port }) {
    const born = Date.now();
    const bootedAt = performance.now();
    const clock = () => Math.round(performance.now() - bootedAt);
    const running = new Map();
    const closed = new Map();
    let ended = [];
    let nextEnd = 1;
    let acked = 0;
    let fence = 0;
    let leaseUntil = 0;
    let waiters = [];
    let up = true;

    const gangKey = ({ task, run }) => `${task.slice(0, task.lastIndexOf('.'))} ${String(run)}`;

    function finish(entry, how) {
      if (running.get(entry.task) !== entry) return;
      running.delete(entry.task);
      clearTimeout(entry.timer);
      closed.set(entry.task, Math.max(entry.run, closed.get(entry.task) ?? 0));
      ended.push([nextEnd, entry.task, entry.run, how, '']);
      nextEnd += 1;
      entry.seen.endedAt = Date.now();
      entry.seen.how = how;
      record.note(`${id} ends ${entry.task} run ${String(entry.run)}: ${how}`);
      for (const wake of waiters.splice(0)) wake();
      if (entry.gang === undefined) return;
      const members = gangs.get(gangKey(entry)) ?? [];
      for (const other of members) {
        if (other.entry === entry) continue;
        other.finish(other.entry, how === 'done' ? 'done' : 'broken');
      }
    }

    function begin(entry) {
      entry.workSince = clock();
      entry.timer = setTimeout(() => {
        finish(entry, entry.how);
      }, entry.workMs);
    }

    function joinGang(entry) {
      const key = gangKey(entry);
      const members = gangs.get(key) ?? [];
      members.push({ entry, finish, begin });
      gangs.set(key, members);
      if (members.length < entry.gang) {
        entry.timer = setTimeout(() => {
          finish(entry, 'alone');
        }, GANG_TIMEOUT_MS);
        return;
      }
      for (const member of members) {
        clearTimeout(member.entry.timer);
        member.begin(member.entry);
      }
    }

    function extend(deadline) {
      if (deadline !== undefined)
        leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + HOLD_MAX_MS));
    }

    const refuse = (reason) => ({ status: 409, body: { 'clock-ms': clock(), reason } });
    const accept = () => ({ status: 200, body: { 'clock-ms': clock() } });

    function start(body) {
      if (body['fencing-token'] < fence) return refuse('fence');
      fence = body['fencing-token'];
      if (body['deadline-ms'] < clock()) return refuse('late');
      extend(body['deadline-ms']);
      if (running.get(body.task)?.run === body.run) return accept();
      if (body.run <= (closed.get(body.task) ?? 0)) return refuse('old');
      const seen = { task: body.task, run: body.run, worker: id, startedAt: Date.now() };
      runs.push(seen);
      const entry = {
        task: body.task,
        run: body.run,
        seen,
        ...plan(body.task, body.run, body.spec),
      };
      running.set(body.task, entry);
      record.note(`${id} starts ${body.task} run ${String(body.run)}`);
      if (entry.gang === undefined) begin(entry);
      else joinGang(entry);
      return accept();
    }

    function stop(body) {
      if (body['fencing-token'] < fence) return refuse('fence');
      fence = body['fencing-token'];
      closed.set(body.task, Math.max(body.run, closed.get(body.task) ?? 0));
      const entry = running.get(body.task);
      if (entry !== undefined && entry.run <= body.run) {
        setTimeout(() => {
          finish(entry, 'stopped');
        }, STOP_MS);
      }
      return accept();
    }

    async function hold(body) {
      if (body['fencing-token'] < fence) return refuse('fence');
      fence = body['fencing-token'];
      extend(body['deadline-ms']);
      acked = Math.max(acked, body['acked-through']);
      ended = ended.filter(([number]) => number > acked);
      const waitMs = Math.min(2000, body['wait-ms'] ?? 0);
      if (ended.length === 0 && waitMs > 0) {
        await new Promise((resolve) => {
          const timer = setTimeout(resolve, waitMs);
          waiters.push(() => {
            clearTimeout(timer);
            resolve();
          });
        });
      }
      const list = [...running.values()].map((entry) => {
        const share =
          entry.workSince === undefined ? 0 : (clock() - entry.workSince) / entry.workMs;
        return [
          entry.task,
          entry.run,
          '',
          entry.lasts ? 100 : Math.min(99, Math.floor(share * 100)),
          0,
        ];
      });
      return {
        status: 200,
        body: { 'clock-ms': clock(), born, running: list, ended: ended.slice(0, 500) },
      };
    }

    const handlers = { '/run-start': start, '/run-stop': stop, '/hold': hold };
    const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', async () => {
        const path = request.url ?? '';
        const text = Buffer.concat(chunks).toString();
        const handler = handlers[path];
        const late = lateMs(id, path, JSON.parse(text));
        if (late !== undefined) {
          record.note(`${id} leaves ${path} ${text} unanswered`);
          setTimeout(() => {
            const life = lives.get(id);
            const outcome = life === undefined ? 'nobody has the id' : life(path, JSON.parse(text));
            record.note(`${id} carries ${path} out late: ${JSON.stringify(outcome)}`);
          }, late);
          return;
        }
        const answer =
          request.headers['x-sapphirewing-target-instance'] !== id
            ? { status: 421, body: {} }
            : handler === undefined
              ? { status: 404, body: {} }
              : await handler(JSON.parse(text));
        if (!up || response.destroyed) return;
        response.writeHead(answer.status, { 'content-type': 'application/json' });
        response.end(JSON.stringify(answer.body));
      });
    });
    await new Promise((resolve) => server.listen(port, '127.0.0.1', resolve));
    const address = `127.0.0.1:${String(server.address().port)}`;

    let sequence = 0;
    function ping() {
      sequence += 1;
      const entry = {
        service,
        address,
        zone: 'zapopan',
        version: 'v1',
        capacity: 8,
        state: 'ready',
        'free-capacity': { cpu, 'mem-mb': memoryMb, gpu: 0 },
        labels,
        'clock-ms': clock(),
        born,
        sequence,
      };
      const value = Buffer.from(JSON.stringify(entry)).toString('base64');
      store.items.apply([{ key: `servers/${id}`, value, lease: 0 }], []);
    }
    ping();
    const pings = setInterval(ping, PING_MS);
    const leases = setInterval(() => {
      if (clock() < leaseUntil) return;
      for (const entry of [...running.values()]) finish(entry, 'lapsed');
    }, 20);

    function halt() {
      up = false;
      if (lives.get(id) === carryOut) lives.delete(id);
      clearInterval(pings);
      clearInterval(leases);
      for (const entry of running.values()) {
        clearTimeout(entry.timer);
        entry.seen.endedAt = Date.now();
        entry.seen.how = 'gone with its worker';
        const members = entry.gang === undefined ? [] : (gangs.get(gangKey(entry)) ?? []);
        for (const other of members) {
          if (other.entry !== entry) other.finish(other.entry, 'broken');
        }
      }
      running.clear();
      server.close();
      server.closeAllConnections();
    }

    const carryOut = (path, body) => handlers[path]?.(body);
    lives.set(id, carryOut);
    record.note(`${id} is up, born ${String(born)}`);

    return {
      id,
      running,
      address,
      port: server.address().port,
      /** The worker ends without notice; its entry goes after three pings of silence. */
      crash: () => {
        record.note(`${id} crashes with ${String(running.size)} runs`);
        halt();
        setTimeout(() => {
          if (!lives.has(id)) store.items.apply([], [`servers/${id}`]);
        }, 3 * PING_MS).unref();
      },
      close: halt,
    };
  }

  return {
    add,
    runs,
    workers,
    close: () => {
      for (const worker of workers) worker.close();
    },
  };
}
