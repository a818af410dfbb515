import type { IncomingMessage, ServerResponse } from 'node:http';
import { expect } from 'chai';
import type { TaskOutcome } from '../../src/workers/index.js';
import { findClosedUrl, releaseAfterEach, startRawServer } from '../support.js';
import {
  createWorkerSupport,
  createTaskStart,
  HOUR_MS,
  outcomeText,
  waitUntilRunning,
} from './support.js';

describe('createWorkerClient', () => {
  const release = releaseAfterEach();

  const { openClient, startStandIn } = createWorkerSupport(release);

  describe('start', () => {
    const behaviours = [
      { name: 'an echoed text', input: 'plain text', kind: 'done', text: 'plain text' },
      { name: 'an echoed value', input: { echo: [1] }, kind: 'done', text: '[1]' },
      { name: 'an empty response', input: { answerBytes: 0 }, kind: 'done', text: '' },
      {
        name: 'a client error of the task',
        input: { status: 404, echo: 1 },
        kind: 'done',
        text: '1',
      },
      { name: 'a failure of the task', input: { status: 503, echo: 1 }, kind: 'failed', text: '1' },
    ];
    for (const { name, input, kind, text } of behaviours) {
      it(`reports ${name} as ${kind}`, async () => {
        const { client, record } = await startStandIn();
        const outcome = await client.start(createTaskStart('t.1', input));
        expect({ kind: outcome.kind, text: outcomeText(outcome) }).to.deep.equal({ kind, text });
        expect((await record()).violations).to.deep.equal([]);
      });
    }

    it('returns a large response completely', async () => {
      const { client } = await startStandIn();
      const outcome = await client.start(createTaskStart('t', { answerBytes: 8_000_000 }));
      expect(outcomeText(outcome).length).to.equal(8_000_000);
    });

    const large = { size: { processors: 5, memoryMb: 1, accelerators: 0 } };
    const refusals = [
      { name: 'a stale epoch', changes: { epoch: 0 }, settings: {} },
      { name: 'an epoch that was not raised', changes: { epoch: 2 }, settings: {} },
      { name: 'a leaving worker', changes: {}, settings: { state: 'leaving' } },
      { name: 'a task that exceeds the capacity', changes: large, settings: {} },
    ];
    for (const { name, changes, settings } of refusals) {
      it(`reports ${name} as refused, because the task has not run`, async () => {
        const { client, set, record } = await startStandIn();
        await set(settings);
        const outcome = await client.start(createTaskStart('t', {}, changes));
        expect(outcome).to.include({ kind: 'refused', reason: 'worker-refused' });
        const { runs, violations } = await record();
        expect(runs).to.deep.equal([]);
        expect(violations.map(({ kind }) => kind)).to.deep.equal(
          changes === large ? ['processors'] : [],
        );
      });
    }

    it('refuses a start if the connection fails, if a header is malformed and after close', async () => {
      const client = openClient(await findClosedUrl());
      const malformed = createTaskStart('t', {}, { contentType: 'a\nb' });
      expect(await client.start(malformed)).to.include({ reason: 'worker-refused' });
      expect(await client.start(createTaskStart('t'))).to.include({ reason: 'worker-refused' });
      await client.close();
      expect(await client.start(createTaskStart('t'))).to.include({ reason: 'worker-refused' });
    });

    it('reports a repeated id as unknown, because the first start may have run', async () => {
      const { client, record } = await startStandIn();
      await client.start(createTaskStart('t'));
      expect((await client.start(createTaskStart('t'))).kind).to.equal('unknown');
      expect((await record()).runs).to.have.length(1);
    });

    it('reports a truncated response as unknown', async () => {
      const { client, set } = await startStandIn();
      await set({ cutAnswers: 1 });
      const outcome = await client.start(createTaskStart('t', { answerBytes: 100_000 }));
      expect(outcome.kind).to.equal('unknown');
    });

    it('returns no response of another task when the worker swaps two responses', async () => {
      const { client, set } = await startStandIn();
      await set({ crossAnswers: 1 });
      const outcomes = await Promise.all(
        ['a', 'b'].map((id) => client.start(createTaskStart(id, { echo: id }))),
      );
      expect(outcomes.map(({ kind }) => kind)).to.deep.equal(['unknown', 'unknown']);
      expect((await client.start(createTaskStart('c', { echo: 'c' }))).kind).to.equal('done');
    });

    const respond =
      (status: number, headers: Record<string, string>) =>
      (request: IncomingMessage, response: ServerResponse) => {
        request.resume().once('end', () => response.writeHead(status, headers).end());
      };
    const named = { 'sapphirewing-task': 't' };
    const rawAnswers = [
      { name: 'no task id', answer: respond(200, { 'content-length': '0' }) },
      { name: 'the id of another task', answer: respond(200, { 'sapphirewing-task': 'u' }) },
      { name: 'no length', answer: respond(200, { ...named, 'transfer-encoding': 'chunked' }) },
      { name: 'status 500 of an intermediary', answer: respond(500, {}) },
      {
        name: 'the refusal of another task',
        answer: respond(409, { 'sapphirewing-refused': 'leaving', 'sapphirewing-task': 'u' }),
      },
      {
        name: 'a broken connection',
        answer: (request: IncomingMessage) => request.socket.destroy(),
      },
    ];
    for (const { name, answer } of rawAnswers) {
      it(`reports ${name} as unknown and sends the task once`, async () => {
        let requests = 0;
        const server = await startRawServer((request, response) => {
          requests += 1;
          answer(request, response);
        });
        release(server.close);
        const outcome = await openClient(server.url).start(createTaskStart('t'));
        expect(outcome.kind).to.equal('unknown');
        expect(requests).to.equal(1);
      });
    }

    it('does not resend a task when a reused connection breaks', async () => {
      const paths: string[] = [];
      const server = await startRawServer((request, response) => {
        paths.push(request.url ?? '');
        if (paths.length > 1) request.socket.destroy();
        else respond(200, named)(request, response);
      });
      release(server.close);
      const client = openClient(server.url, { connections: 3 });
      await client.start(createTaskStart('t'));
      expect((await client.start(createTaskStart('u'))).kind).to.equal('unknown');
      expect(paths).to.have.length(2);
    });

    it('gives up after the run limit if the worker hangs, so that no caller waits forever', async () => {
      const server = await startRawServer(() => undefined);
      release(server.close);
      const client = openClient(server.url, { timeoutMs: 50 });
      const outcome = await client.start(createTaskStart('t', {}, { maxRunMs: 50 }));
      expect(outcome.kind).to.equal('unknown');
    });
  });

  describe('join', () => {
    it('waits for a running task and repeats the response of an ended one', async () => {
      const { client } = await startStandIn();
      const started = client.start(createTaskStart('t', { runMs: 100, echo: 'answer' }));
      await waitUntilRunning(client, 't');
      const outcomes = [await client.join('t'), await started, await client.join('t')];
      expect(outcomes.map((outcome) => outcomeText(outcome as TaskOutcome))).to.deep.equal(
        Array(3).fill('"answer"'),
      );
    });

    it('distinguishes a task that the worker has not seen since boot from an unknown outcome', async () => {
      const { client, reboot } = await startStandIn();
      await client.start(createTaskStart('t'));
      const before = (await client.report())._unsafeUnwrap().bootId;
      await reboot();
      const joined = await client.join('t');
      expect(joined.kind).to.equal('never-seen');
      expect(joined).to.have.property('bootId').that.is.not.equal(before);
      expect((await openClient(await findClosedUrl()).join('t')).kind).to.equal('unknown');
    });
  });

  describe('commands', () => {
    it('fence a former holder and return the running tasks to the new one', async () => {
      const { url, client } = await startStandIn();
      const started = client.start(createTaskStart('t', {}, { class: 'service' }));
      await waitUntilRunning(client, 't');
      const nextHolder = openClient(url);
      const { running } = (await nextHolder.raiseEpoch(2, 'h2'))._unsafeUnwrap();
      expect(running.map(({ id, team, epoch }) => ({ id, team, epoch }))).to.deep.equal([
        { id: 't', team: 'grün', epoch: 1 },
      ]);
      const stale = [
        await client.renew(1, HOUR_MS),
        await client.stop('t', 1),
        await client.checkpoint('t', 1),
        await client.throttle('t', 1, 0.5),
        (await client.raiseEpoch(1, 'h1')).map(() => undefined),
      ];
      expect(stale.map((result) => result._unsafeUnwrapErr().kind)).to.deep.equal(
        Array(5).fill('stale-epoch'),
      );
      expect((await client.start(createTaskStart('u'))).kind).to.equal('refused');
      (await nextHolder.stop('t', 2))._unsafeUnwrap();
      expect((await started).kind).to.equal('failed');
    });

    it('do not queue behind running tasks, so that leases are renewed in time', async () => {
      const { url } = await startStandIn();
      const client = openClient(url, { connections: 3 });
      const started = client.start(createTaskStart('t', {}, { class: 'service' }));
      await waitUntilRunning(client, 't');
      (await client.renew(1, HOUR_MS))._unsafeUnwrap();
      (await client.stop('t', 1))._unsafeUnwrap();
      expect(outcomeText(await started)).to.contain('stopped');
    });

    it('report a frozen worker as unreachable, while a start on it completes once it resumes', async () => {
      const { url, client, set } = await startStandIn();
      await set({ frozen: true });
      const started = client.start(createTaskStart('t', { echo: 1 }));
      const impatientClient = openClient(url, { timeoutMs: 50 });
      expect((await impatientClient.report())._unsafeUnwrapErr().kind).to.equal('unreachable');
      await set({ frozen: false });
      expect((await started).kind).to.equal('done');
    });

    it('report usage with the lag and the factor of the worker', async () => {
      const { client, set } = await startStandIn();
      await set({ usageFactor: 2 });
      const started = client.start(createTaskStart('t', {}, { class: 'service' }));
      await waitUntilRunning(client, 't');
      const usage = (await client.report())._unsafeUnwrap().usage.get('t');
      expect(usage).to.deep.equal({ processors: 2, memoryMb: 200, accelerators: 0 });
      await set({ reportLagMs: HOUR_MS, state: 'leaving' });
      const lagging = (await client.report())._unsafeUnwrap();
      expect([lagging.usage.size, lagging.leaving]).to.deep.equal([0, true]);
      (await client.stop('t', 1))._unsafeUnwrap();
      await started;
    });
  });
});
