import { connect } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'earl';

import type { CallerRequest } from '../lib/caller-request.js';
import { logListenerWait } from '../lib/log-listener-wait.js';
import { createRouteTable } from '../lib/route-table.js';
import { createRouterMetrics } from '../lib/router-metrics.js';
import { cfg, get, listen, serverAnswer } from './listener-harness.js';
import { IDLE_SOURCES } from './metrics-sources.js';

/** Time for which the first answer of a pipeline is outstanding, in milliseconds. */
const FIRST_ANSWER_MS = 300;

// Guards against an answer that waits behind another one, unseen in the time to the answer.
test('the time for which an answer waits behind an earlier one is told', async () => {
  const { port, listener, waits } = await listen(async (req) => {
    if (req.attemptId === 'slow') await sleep(FIRST_ANSWER_MS);
    return serverAnswer('', true);
  });
  const socket = connect(port, '127.0.0.1');
  socket.resume();
  socket.write(get('/p/1', 'slow') + get('/p/2', 'fast'));
  const waitOf = (id: string) => waits.find((it) => it.what === 'answer' && it.attemptId === id);
  while (!waitOf('fast')) await sleep(10);
  expect(waitOf('fast')?.waitedMs ?? 0).toBeGreaterThanOrEqual(FIRST_ANSWER_MS / 2);
  socket.destroy();
  await listener.drain();
});

test('only waits of half a second or more are logged', () => {
  const lines: unknown[] = [];
  const log = { info: (_message: string, fields?: unknown) => lines.push(fields) };
  logListenerWait({ what: 'input', waitedMs: 499, attemptId: 'a' }, log);
  logListenerWait({ what: 'answer', waitedMs: 500.4, attemptId: 'b' }, log);
  expect(lines).toEqual([{ what: 'answer', waitedMs: 500, request: 'b' }]);
});

// Guards against requests on added routes that fail, unseen among all others.
test('requests are counted by whether their route was added later', async () => {
  const metrics = createRouterMetrics(IDLE_SOURCES);
  const [known] = cfg.routes;
  if (!known) throw new TypeError('the configuration has no route');
  const added = { ...known, name: 'added', pathPrefix: '/added/' };
  const first = createRouteTable(cfg);
  const next = createRouteTable({ ...cfg, version: 2, routes: [known, added] }, first);
  for (const path of ['/p/', '/added/', '/added/']) {
    const route = next.find('a.example', path);
    const req = { service: 's', route } as unknown as CallerRequest;
    metrics.recordAnswer(req, serverAnswer('', true), 5);
  }
  const text = await metrics.text();
  const name = 'boragepoint_requests_by_route_age_total';
  expect(text.includes(`${name}{age="first",outcome="ok"} 1\n`)).toEqual(true);
  expect(text.includes(`${name}{age="added",outcome="ok"} 2\n`)).toEqual(true);
});
