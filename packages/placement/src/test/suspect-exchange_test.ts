import { test } from 'node:test';
import { setImmediate as nextEventLoopTurn, setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'earl';

import type { ReportAnswer } from '../lib/report-messages.js';
import { type SuspectExchange, createSuspectExchange } from '../lib/suspect-exchange.js';
import { type SuspectRecord, createSuspectRecord } from '../lib/suspect-record.js';
import type { AgedRun, SuspectRun } from '../lib/suspect-run.js';
import { processClocks } from '../lib/suspension-guard.js';

const OTHERS = Array.from({ length: 12 }, (_, index) => `router-${index}`);

/** Options of a router without a leader, and without anything to write or log. */
const ALONE = {
  clocks: processClocks,
  log: { info: () => undefined, warn: () => undefined },
  leader: () => undefined,
  onChange: () => undefined,
};

interface Fixture {
  readonly record: SuspectRecord;
  readonly exchange: SuspectExchange;
  /** Runs that were sent to each router, in order, by address. */
  readonly sent: Map<string, AgedRun[]>;
  /** Start of each router's process, by address. */
  readonly starts: Map<string, number>;
}

/**
 * Creates the exchange of a router that leads if `reporters` are given, and that knows of no leader
 * otherwise.
 */
function setUp(reporters?: readonly string[]): Fixture {
  const record = createSuspectRecord(() => 0);
  const sent = new Map<string, AgedRun[]>(OTHERS.map((it) => [it, []]));
  const starts = new Map(OTHERS.map((it) => [it, 1]));
  const exchange = createSuspectExchange({
    address: 'self',
    record,
    peers: {
      shareSuspects(address, { runs }) {
        sent.get(address)?.push(...runs);
        return Promise.resolve(starts.get(address));
      },
    },
    ...ALONE,
    reporters: () => reporters,
    others: () => OTHERS,
  });
  return { record, exchange, sent, starts };
}

function lostRun(count: number): SuspectRun {
  const identity = { request: `request-${count}`, caller: 'c', run: `run-${count}` };
  return { ...identity, server: 's', startedMs: 1, state: 'lost', othersServed: false };
}

function putLostRun(record: SuspectRecord, count: number): void {
  record.put(lostRun(count));
}

const receivedRun = (count: number): AgedRun => ({ ...lostRun(count), ageMs: 0 });

// Guards against routers that, without a leader, send their whole record for each lost request.
test('without a leader each run is sent to each router once', async () => {
  const { record, exchange, sent } = setUp();
  for (let count = 0; count < 100; count += 1) {
    putLostRun(record, count);
    await exchange.share();
  }
  expect([...sent.values()].map((it) => it.length)).toEqual(OTHERS.map(() => 100));
});

// Guards against a restarted router that lacks the runs that were sent to its former process.
test('a restarted process is sent all runs', async () => {
  const { record, exchange, sent, starts } = setUp();
  for (let count = 0; count < 5; count += 1) putLostRun(record, count);
  await exchange.share();
  starts.set('router-3', 2);
  putLostRun(record, 5);
  await exchange.share();
  const runsOf = (router: string) =>
    new Set(
      sent
        .get(router)
        ?.slice(5)
        .map((it) => it.run),
    );
  expect(runsOf('router-3').size).toEqual(6);
  expect([...runsOf('router-4')]).toEqual(['run-5']);
});

// Guards against a request that crashes a fourth server because its router, between two reports,
// did not know of the first three crashes.
test('the leader calls the routers that have no waiting report', async () => {
  const { record, exchange, sent } = setUp(OTHERS.slice(0, 3));
  const waiting = record.waitForChange(0, 60_000).then(() => exchange.replyFields('router-0', 0));
  putLostRun(record, 1);
  await exchange.share();
  expect((await waiting).suspects.map((it) => it.run)).toEqual(['run-1']);
  const called = [...sent].filter(([, runs]) => runs.length > 0);
  expect(called.map(([router]) => router)).toEqual(['router-1', 'router-2']);
});

// Guards against a leader that calls hundreds of routers because runs were cleared.
test('cleared runs are sent only with the answers to reports', async () => {
  const { record, exchange, sent } = setUp(OTHERS.slice(0, 3));
  putLostRun(record, 1);
  await exchange.share();
  record.put({ ...lostRun(1), state: 'cleared' });
  await exchange.share();
  expect(sent.get('router-1')?.map((it) => it.state)).toEqual(['lost']);
});

// Guards against routers that send the leader all the runs that they received from it.
test('runs are not sent back to the router that shared them', () => {
  const { record, exchange } = setUp();
  exchange.receive({ runs: [receivedRun(1)], from: 'leader' });
  expect(exchange.reportFields('leader').suspects).toEqual([]);
  const answer = { startedMs: 1, suspects: [receivedRun(2)], knownSuspects: 9 };
  exchange.noteAnswer('leader', record.change(), answer as unknown as ReportAnswer);
  expect(exchange.reportFields('leader').suspects).toEqual([]);
  expect(exchange.reportFields('another').suspects.length).toEqual(2);
});

// Guards against a router's own lost runs that count as known to the leader because its answer
// arrived after them.
test('a run that is lost before an answer arrives is sent after it', () => {
  const { record, exchange } = setUp();
  const askedAt = record.change();
  putLostRun(record, 3);
  record.announce();
  const answer = { startedMs: 1, suspects: [receivedRun(2)], knownSuspects: 9 };
  exchange.noteAnswer('leader', askedAt, answer as unknown as ReportAnswer);
  expect(exchange.reportFields('leader').suspects.map((it) => it.run)).toInclude('run-3');
});

const FLEET = 60;
const KNOWN_PEERS = 12;

/** Routers without a leader; each knows some of the others, and passes on what it learns. */
function startFleet(random: () => number) {
  const addresses = Array.from({ length: FLEET }, (_, index) => `r-${index}`);
  const routers = new Map<string, SuspectExchange>();
  const records: SuspectRecord[] = [];
  let calls = 0;
  const passedOn: Promise<void>[] = [];
  for (const address of addresses) {
    const record = createSuspectRecord(() => 0);
    const others = addresses.filter((it) => it !== address);
    const known = others.sort(() => random() - 0.5).slice(0, KNOWN_PEERS);
    records.push(record);
    const exchange = createSuspectExchange({
      address,
      record,
      peers: {
        shareSuspects(to, update) {
          calls += 1;
          const receiver = routers.get(to);
          if (receiver && receiver.receive(update) > 0) passedOn.push(receiver.passOn());
          return Promise.resolve(1);
        },
      },
      ...ALONE,
      reporters: () => undefined,
      others: () => known,
      random,
    });
    routers.set(address, exchange);
  }
  /** Waits until nothing is passed on any more. */
  async function settle(): Promise<void> {
    // Grows while it is iterated.
    for (const it of passedOn) await it;
  }
  return { routers, records, settle, calls: () => calls };
}

// Guards against a large fleet that floods its links while it has no leader, so that the next one
// can't answer it: each router sent each run that it learned of to all others that it knew.
test('without a leader a run reaches nearly all routers with a few calls a router', async () => {
  let seed = 7;
  const random = () => (seed = (seed * 16_807) % 2_147_483_647) / 2_147_483_647;
  const fleet = startFleet(random);
  fleet.records[0]?.put(lostRun(1));
  await fleet.routers.get('r-0')?.share();
  await fleet.settle();
  const informed = fleet.records.filter((it) => !it.isEmpty()).length;
  expect(informed >= 0.9 * FLEET).toEqual(true);
  expect(fleet.calls() <= KNOWN_PEERS + 3 * FLEET).toEqual(true);
});

// Guards against a new leader whose link is filled by what all routers know already: whole records in
// reports and answers arrived too late, and were sent again from the start.
test('a long record reaches a new leader in parts that each count once they have arrived', () => {
  const follower = setUp();
  const leader = setUp([]);
  for (let count = 0; count < 200; count += 1) putLostRun(follower.record, count);
  follower.record.announce();
  let reports = 0;
  while (follower.exchange.reportFields('leader').suspects.length > 0) {
    const { suspects, sharedUpTo } = follower.exchange.reportFields('leader');
    expect(suspects.length <= 48).toEqual(true);
    leader.exchange.receive({ runs: suspects, from: 'follower' });
    const answer = { startedMs: 1, suspects: [], knownSuspects: 0 };
    follower.exchange.noteAnswer('leader', sharedUpTo, answer as unknown as ReportAnswer);
    reports += 1;
  }
  expect(reports).toEqual(Math.ceil(200 / 24));
  expect(leader.record.since(0).length).toEqual(200);
});

// Guards against a starting router that serves before it knows which requests have ended servers.
test('an answer is bounded too, except to a router that is starting', () => {
  const { record, exchange } = setUp([]);
  for (let count = 0; count < 200; count += 1) putLostRun(record, count);
  record.announce();
  expect(exchange.replyFields('follower', 0).suspects.length).toEqual(48);
  expect(exchange.replyFields('follower', 0).knownSuspects).toEqual(24n);
  expect(exchange.replyFields('starting', 0, true).suspects.length).toEqual(200);
});

// Guards against a leader that is busy with calls to hundreds of routers for each run that is lost, and
// answers none of their reports.
test('runs that are lost one after the other are sent to the reporting routers together', async () => {
  const reporters = Array.from({ length: 200 }, (_, index) => `reporter-${index}`);
  let calls = 0;
  const record = createSuspectRecord(() => 0);
  const exchange = createSuspectExchange({
    address: 'self',
    record,
    peers: {
      shareSuspects() {
        calls += 1;
        return Promise.resolve(1);
      },
    },
    ...ALONE,
    reporters: () => reporters,
    others: () => [],
  });
  const shares: Promise<void>[] = [];
  for (let count = 0; count < 20; count += 1) {
    putLostRun(record, count);
    shares.push(exchange.share());
    await nextEventLoopTurn();
    await nextEventLoopTurn();
  }
  await Promise.all(shares);
  expect(calls <= 2 * reporters.length).toEqual(true);
  while (calls < 2 * reporters.length) await sleep(10);
});
