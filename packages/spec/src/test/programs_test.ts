import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

import { expect } from 'earl';

import { type TraceEvent, outcomeOf } from '../index.js';

const BIN = fileURLToPath(new URL('../bin/', import.meta.url));

interface Run {
  readonly status: number | null;
  readonly output: string;
}

function runProgram(name: string, ...args: string[]): Run {
  const { status, stdout } = spawnSync(process.execPath, [path.join(BIN, name), ...args], {
    encoding: 'utf8',
  });
  return { status, output: stdout };
}

function replayOf(events: readonly TraceEvent[]): Run {
  const folder = mkdtempSync(path.join(tmpdir(), 'boragepoint-trace-'));
  try {
    const lines = events.map((it) => JSON.stringify(it));
    writeFileSync(path.join(folder, 'run.jsonl'), lines.join('\n'));
    return runProgram('verify-replay.js', folder);
  } finally {
    rmSync(folder, { recursive: true });
  }
}

const EVENTS: readonly TraceEvent[] = [
  { kind: 'config', at: 1, router: 'router-1', service: 'caja', version: 1 },
  { kind: 'config', at: 2, router: 'router-1', service: 'caja', version: 2 },
];

test('verify-model --mutate exits with 1 and prints a shortest trace to a violation', () => {
  const { status, output } = runProgram('verify-model.js', '--mutate', 'margin');
  expect(status).toEqual(1);
  expect(output.includes('shortest trace, 5 steps')).toEqual(true);
});

test('verify-model --mutate exits with 2 for an unknown name', () => {
  expect(runProgram('verify-model.js', '--mutate', 'nothing').status).toEqual(2);
});

test('verify-replay accepts a correct trace file', () => {
  expect(replayOf([...EVENTS, outcomeOf(EVENTS)]).status).toEqual(0);
});

test('verify-replay rejects a trace file in which a configuration version decreases', () => {
  const altered = EVENTS.map((it) => (it.at === 1 ? { ...it, version: 3 } : it));
  const { status, output } = replayOf([...altered, outcomeOf(EVENTS)]);
  expect(status).toEqual(1);
  expect(output.includes('config-rises')).toEqual(true);
});

test('verify-replay rejects a trace file without its outcome event', () => {
  expect(replayOf(EVENTS).status).toEqual(1);
});

test('verify-replay fails for a folder without traces and for a missing folder', () => {
  expect(replayOf([]).status).toEqual(1);
  expect(runProgram('verify-replay.js', path.join(BIN, 'nowhere')).status).toEqual(1);
});
