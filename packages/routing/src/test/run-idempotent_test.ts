import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import { serviceConfigSchema } from '@boragepoint/config';
import type { AssignmentMap, Placement } from '@boragepoint/ownership';
import { expect } from 'earl';
import * as v from 'valibot';

import { createRetryBudget, createSystemClock } from '../lib/admission/index.js';
import { createLoadExchange } from '../lib/balance/index.js';
import { createServerLinks, refusal, runIdempotent } from '../lib/dispatch/index.js';
import { createQuarantine } from '../lib/quarantine/index.js';

const DEADLINE_MS = 5_000;
const SERVER = { id: 'caja-01', availabilityZone: 'norte', region: 'costa' };

/** Starts a backend server that closes the connection of each request without an answer. */
async function startBrokenServer() {
  let requests = 0;
  const server = createServer((req) => {
    requests += 1;
    req.socket.destroy();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    requests: () => requests,
    async [Symbol.asyncDispose]() {
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

function createContext(address: string) {
  const service = v.parse(serviceConfigSchema, {
    name: 'caja',
    shards: 1,
    key: { from: 'path', segment: 1 },
    rules: [{ name: 'read', method: 'GET', path: '/*', idempotent: true, deadlineMs: DEADLINE_MS }],
    backendServers: [{ ...SERVER, address }],
  });
  const [server] = service.backendServers;
  const [rule] = service.rules;
  if (server === undefined || rule === undefined) throw new Error('the service is empty');
  const assignment = { service: service.name, shard: 0, owner: server.id, epoch: 1 };
  const placement = { assignment, server } as unknown as Placement;
  const map: Partial<AssignmentMap> = {
    place: () => placement,
    keyHash: () => '1',
    onChange: () => ({ [Symbol.dispose]: () => undefined }),
  };
  const clock = createSystemClock();
  const links = createServerLinks(clock);
  const budget = createRetryBudget({ clock });
  const load = createLoadExchange({ clock });
  const ctx = { map: map as AssignmentMap, links, budget, load, quarantine: createQuarantine() };
  const req = {
    requestId: 'request-1',
    service,
    rule,
    key: 'a',
    method: 'GET',
    path: '/a',
    headers: [],
    body: new Uint8Array(),
    caller: 'plaza',
    isRepeat: false,
    deadlineAt: performance.now() + DEADLINE_MS,
    signal: new AbortController().signal,
  };
  return { ctx, req };
}

describe('idempotent request whose connection was lost', () => {
  it('continues at the keeper, and a refusal there is not reported as "not run"', async () => {
    await using server = await startBrokenServer();
    const { ctx, req } = createContext(server.address);
    await using links = ctx.links;
    let asked = 0;
    const answer = await runIdempotent({ ...ctx, links }, req, 'fingerprint', () => {
      asked += 1;
      return Promise.resolve(refusal('overloaded', 'no turn before the deadline'));
    });
    expect(answer.kind === 'refused' && answer.result).toEqual('answerIncomplete');
    expect({ asked, requests: server.requests() }).toEqual({ asked: 1, requests: 1 });
  });
});
