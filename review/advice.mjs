/* global setTimeout */
/**
 * Stand-in for the advice service, as PROTOCOL.md describes it under "Running tasks". It handles one call at a time for
 * its one calling machine, in turn, and allows all workers. Each host has a service of its own, with shared tickets.
 */
import { createServer } from 'node:http';

const MAX_WAITING = 32;

export function createTickets() {
  const tickets = new Map();
  let next = 1;
  return {
    issue: (step, worker, validMs) => {
      const ticket = `t${String(next)}`;
      next += 1;
      tickets.set(ticket, { step, worker, until: Date.now() + validMs });
      return ticket;
    },
    isValid: (ticket, task, worker) => {
      const found = tickets.get(ticket);
      const step = task.slice(0, task.lastIndexOf('.'));
      return found?.step === step && found.worker === worker && Date.now() < found.until;
    },
  };
}

export async function startAdvice({ host, tickets, timing }) {
  let waiting = 0;
  let turn = Promise.resolve();
  const server = createServer((request, response) => {
    let text = '';
    request.on('data', (data) => (text += data.toString()));
    request.on('end', () => {
      const answer = (status, body) => {
        response.writeHead(status, { 'content-type': 'application/json' });
        response.end(JSON.stringify(body));
      };
      if (waiting >= MAX_WAITING) {
        answer(429, {});
        return;
      }
      waiting += 1;
      const { step, workers } = JSON.parse(text);
      const takesMs = timing['decide-ms'] + timing['period-ms'] * workers.length;
      turn = turn.then(async () => {
        await new Promise((resolve) => setTimeout(resolve, takesMs));
        waiting -= 1;
        const validMs = timing['valid-ms'];
        const granted = workers.map((id) => [id, tickets.issue(step, id, validMs)]);
        answer(200, { granted, 'valid-ms': validMs });
      });
    });
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${String(server.address().port)}`,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
