import { readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

import { expect } from 'earl';

import { type TraceEvent, checkTrace, outcomeOf, parseTrace } from '../index.js';

const FOLDER = fileURLToPath(new URL('../../traces/', import.meta.url));
const RECORDED = ['drain', 'keeper-killed', 'owner-frozen', 'owner-killed', 'router-partitioned'];

function read(name: string): readonly TraceEvent[] {
  return parseTrace(readFileSync(path.join(FOLDER, `${name}.jsonl`), 'utf8'))._unsafeUnwrap();
}

test('the folder has exactly the recorded traces', () => {
  expect(readdirSync(FOLDER).sort()).toEqual(RECORDED.map((it) => `${it}.jsonl`));
});

for (const name of RECORDED) {
  test(`the recorded trace ${name} violates no rule and ends with its outcome event`, () => {
    const events = read(name);
    expect(checkTrace(events)).toEqual([]);
    expect(events.at(-1)).toEqual(outcomeOf(events));
  });

  test(`the recorded trace ${name} is rejected if a payment ran twice`, () => {
    const recorded = read(name).filter((it) => it.kind !== 'outcome');
    const run = recorded.find((it) => it.kind === 'ran' && !it.idempotent);
    if (run === undefined) throw new Error('the trace has no run of a non-idempotent request');
    const altered = [...recorded, run];
    const rules = checkTrace([...altered, outcomeOf(altered)]).map((it) => it.rule);
    expect(rules).toEqual(['at-most-once']);
  });
}
