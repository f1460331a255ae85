import { test } from 'node:test';

import { expect } from 'earl';

import { type TraceEvent, checkTrace, outcomeOf, parseTrace } from '../index.js';

const SHARD = { service: 'caja', shard: 7 };

function ran(at: number, server: string, epoch: number, requestId: string): TraceEvent {
  const idempotencyKey = `key-${requestId}`;
  const request = { requestId, key: 'plaza-9', idempotencyKey, idempotent: false };
  return { kind: 'ran', at, server, start: `${server}-1`, ...SHARD, epoch, ...request };
}

function holdingEvent(
  kind: 'granted' | 'released' | 'lapsed',
  at: number,
  server: string,
  epoch: number,
): TraceEvent {
  return { kind, at, server, ...SHARD, epoch };
}

function assigned(at: number, owner: string, epoch: number, version: number): TraceEvent {
  return { kind: 'assigned', at, ...SHARD, owner, epoch, version };
}

function config(at: number, router: string, version: number): TraceEvent {
  return { kind: 'config', at, router, service: 'caja', version };
}

function answered(at: number, requestId: string, code: number, status: number): TraceEvent {
  return { kind: 'answered', at, requestId, idempotencyKey: `key-${requestId}`, code, status };
}

/**
 * The lease of caja-1 lapses, caja-2 releases the shard, and caja-3 is stopped without reporting a
 * release or lapse.
 */
const EVENTS: readonly TraceEvent[] = [
  assigned(0, 'caja-1', 1, 1),
  holdingEvent('granted', 1, 'caja-1', 1),
  config(1, 'router-1', 1),
  ran(10, 'caja-1', 1, 'r1'),
  answered(12, 'r1', 0, 200),
  holdingEvent('lapsed', 500, 'caja-1', 1),
  assigned(510, 'caja-2', 3, 2),
  holdingEvent('granted', 511, 'caja-2', 3),
  config(512, 'router-1', 2),
  ran(520, 'caja-2', 3, 'r2'),
  answered(525, 'r2', 201, 504),
  answered(530, 'r3', 101, 503),
  holdingEvent('released', 600, 'caja-2', 3),
  assigned(610, 'caja-3', 5, 3),
  holdingEvent('granted', 611, 'caja-3', 5),
  { kind: 'stopped', at: 700, server: 'caja-3' },
  assigned(1300, 'caja-1', 7, 4),
  holdingEvent('granted', 1301, 'caja-1', 7),
  ran(1310, 'caja-1', 7, 'r4'),
];
const TRACE: readonly TraceEvent[] = [...EVENTS, outcomeOf(EVENTS)];

function rulesOf(events: readonly TraceEvent[]): string[] {
  return [...new Set(checkTrace(events).map((it) => it.rule))].sort();
}

function withChange(index: number, change: Partial<TraceEvent>): TraceEvent[] {
  return EVENTS.map((it, at) => (at === index ? ({ ...it, ...change } as TraceEvent) : it));
}

function without(kind: TraceEvent['kind'], at: number): TraceEvent[] {
  return EVENTS.filter((it) => it.kind !== kind || it.at !== at);
}

test('a correct trace is accepted regardless of the order of its lines', () => {
  expect(checkTrace(TRACE)).toEqual([]);
  expect(checkTrace(TRACE.toReversed())).toEqual([]);
});

const ALTERED: readonly (readonly [string, readonly TraceEvent[], readonly string[]])[] = [
  ['a lapse after the next grant', withChange(5, { at: 512 }), ['one-owner']],
  ['a missing lapse', without('lapsed', 500), ['one-owner']],
  ['a missing release', without('released', 600), ['one-owner']],
  ['a missing stop', without('stopped', 700), ['one-owner']],
  ['a run after the lapse', [...EVENTS, ran(505, 'caja-1', 1, 'r5')], ['run-under-grant']],
  ['a run under another epoch', withChange(9, { epoch: 2 }), ['run-under-grant']],
  [
    'a grant to another server',
    withChange(7, { server: 'caja-9' }),
    ['epoch-owner', 'one-owner', 'run-under-grant'],
  ],
  ['a row whose epoch decreases', withChange(13, { epoch: 2 }), ['epoch-rises']],
  ['two rows of the same version', [...EVENTS, assigned(700, 'caja-9', 6, 3)], ['assignment-kept']],
  ['a request that ran twice', [...EVENTS, ran(1320, 'caja-1', 7, 'r2')], ['at-most-once']],
  ['a "not run" answer to a request that ran', withChange(10, { code: 107 }), ['not-run-is-true']],
  [
    'a configuration version that decreases',
    [...EVENTS, config(800, 'router-1', 1)],
    ['config-rises'],
  ],
  ['a missing line', TRACE.filter((it) => it.at !== 530), ['stated-outcome']],
];

for (const [name, events, rules] of ALTERED) {
  test(`an altered trace is rejected: ${name}`, () => {
    expect(rulesOf(events)).toEqual([...rules]);
  });
}

test('grants with decreasing epochs are rejected', () => {
  const late = [
    holdingEvent('granted', 1400, 'caja-2', 6),
    holdingEvent('lapsed', 1350, 'caja-1', 7),
  ];
  expect(rulesOf([...EVENTS, ...late])).toEqual(['epoch-rises']);
});

test('a written trace is parsed back unchanged', () => {
  const text = TRACE.map((it) => JSON.stringify(it)).join('\n');
  expect(parseTrace(text).unwrapOr([])).toEqual([...TRACE]);
});

for (const line of ['{"kind":"ran"', '{"kind":"nothing","at":1}', '{"kind":"stopped","at":"1"}']) {
  test(`an invalid line is reported with its number: ${line}`, () => {
    const parsed = parseTrace(`${JSON.stringify(EVENTS[0])}\n${line}`);
    expect(parsed.isErr() && parsed.error.message.startsWith('line 2')).toEqual(true);
  });
}
