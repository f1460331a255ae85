import { readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

import { expect } from 'earl';

import { createRouterLog } from '../lib/router-log.js';

const root = path.join(path.dirname(fileURLToPath(import.meta.url)), '../../../..');
const SOURCES = ['packages/router/src/lib', 'packages/placement/src/lib', 'platform/src/lib'];

function loggedMessages(): string[] {
  const files = SOURCES.flatMap((folder) =>
    readdirSync(path.join(root, folder)).map((file) => path.join(root, folder, file)),
  );
  const messages = files.flatMap((file) => {
    const text = readFileSync(file, 'utf8');
    return [...text.matchAll(/log(?:\(\))?\.(?:info|warn|error)\(\s*'([^']+)'/g)].map(
      (it) => it[1] ?? '',
    );
  });
  return [...new Set(messages)].sort();
}

function documentedMessages(): string[] {
  const page = readFileSync(path.join(root, 'docs/OPERATIONS.md'), 'utf8');
  const section = page.slice(page.indexOf('## Log lines'), page.indexOf('## Metrics'));
  return [...section.matchAll(/^\| `([^`]+)`/gm)].map((it) => it[1] ?? '').sort();
}

test('the operations page lists exactly the messages that are logged', () => {
  expect(documentedMessages()).toEqual(loggedMessages());
});

function setUp() {
  let now = 0;
  const lines: string[] = [];
  const sink = { accepts: true };
  const log = createRouterLog(
    'r1',
    {
      write(line) {
        if (sink.accepts) lines.push(line);
        return sink.accepts;
      },
      flush: () => undefined,
    },
    () => now,
  );
  const at = (ms: number) => {
    now = ms;
  };
  return { lines, log, sink, at };
}

test('the number of lines a second is limited, and the dropped lines are counted in the log', () => {
  const { lines, log, at } = setUp();
  for (let index = 0; index < 1_000; index += 1) log.info('request', { index });
  expect(lines.length).toEqual(150);
  at(1_000);
  log.info('request', {});
  const next = JSON.parse(lines.at(-1) ?? '') as { linesDropped: number };
  expect(next.linesDropped).toEqual(850);
});

test('lines that the sink does not accept are dropped and counted', () => {
  const { lines, log, sink } = setUp();
  sink.accepts = false;
  for (let index = 0; index < 10; index += 1) log.info('request', { index });
  sink.accepts = true;
  log.info('request', {});
  const next = JSON.parse(lines.at(-1) ?? '') as { linesDropped: number };
  expect(next.linesDropped).toEqual(10);
});
