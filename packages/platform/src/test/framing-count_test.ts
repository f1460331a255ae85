import { test } from 'node:test';

import { expect } from 'earl';

import {
  type FramingCount,
  MAX_FRAMING_BYTES,
  MAX_FRAMING_LINES,
  createFramingCount,
} from '../lib/framing-count.js';

const HEAD = Buffer.from('HTTP/1.1 200 OK\r\n\r\n');

/** Passes bytes of which a number is reported as body. */
function pass(count: FramingCount, bytes: Buffer, bodyBytes = 0): void {
  count.pass(bytes);
  if (bodyBytes > 0) count.noteBody(bodyBytes);
  count.settle();
}

/** Passes the same slice until the count is exceeded, and returns the number of bytes passed. */
function passUntilExceeded(count: FramingCount, slice: Buffer, bodyBytes = 0): number {
  let passed = 0;
  while (!count.isExceeded() && passed < 10 * MAX_FRAMING_BYTES) {
    pass(count, slice, bodyBytes);
    passed += slice.length;
  }
  return passed;
}

function begunResponse(): FramingCount {
  const count = createFramingCount();
  count.pass(HEAD);
  count.beginBody();
  count.settle();
  return count;
}

const PHASES: Readonly<Record<string, () => FramingCount>> = {
  'before the head': createFramingCount,
  'after the head': begunResponse,
};

for (const [phase, create] of Object.entries(PHASES)) {
  // Guards against bytes without end that no parser limit counts, such as a status line.
  test(`bytes besides the body are limited ${phase}`, () => {
    const slice = Buffer.alloc(1_000, 'x');
    const passed = passUntilExceeded(create(), slice);
    expect(passed).toBeLessThanOrEqual(MAX_FRAMING_BYTES + slice.length);
    expect(passed).toBeGreaterThan(MAX_FRAMING_BYTES);
  });

  // Guards against many short lines, each of which costs the parser an object.
  test(`lines besides the body are limited ${phase}`, () => {
    const slice = Buffer.from('a:\r\n'.repeat(100));
    const passed = passUntilExceeded(create(), slice);
    expect(passed).toEqual((MAX_FRAMING_LINES / 100 + 1) * slice.length);
  });
}

// Guards against chunk extensions without end beside a few body bytes.
test('bytes between parts of a body are limited by the size of the body', () => {
  const slice = Buffer.alloc(1_000, 'x');
  const passed = passUntilExceeded(begunResponse(), slice, 1);
  expect(passed).toBeLessThanOrEqual(MAX_FRAMING_BYTES + 2 * slice.length);
});

// Guards against a limit that refuses valid bodies in small chunks or of many lines.
test('a body in chunks of one byte that is a line feed has no limit', () => {
  const slice = Buffer.from('1\r\n\n\r\n'.repeat(2_000));
  expect(passUntilExceeded(begunResponse(), slice, 2_000)).toEqual(
    Math.ceil((10 * MAX_FRAMING_BYTES) / slice.length) * slice.length,
  );
});

// Guards against a limit that adds up over the responses of a connection.
test('each response begins with a new count', () => {
  const count = createFramingCount();
  for (let responses = 0; responses < 10; responses += 1) {
    pass(count, Buffer.alloc(MAX_FRAMING_BYTES / 2, 'x'));
    count.pass(HEAD);
    count.beginBody();
    pass(count, Buffer.alloc(MAX_FRAMING_BYTES / 2, 'x'));
    count.end();
    expect(count.isExceeded()).toEqual(false);
  }
});

// Guards against interim responses without end, each of which is a whole head.
test('bytes after the end of a response count to the next one', () => {
  const count = begunResponse();
  count.end();
  const passed = passUntilExceeded(count, Buffer.from('HTTP/1.1 103 Early Hints\r\n\r\n'));
  expect(passed).toBeLessThanOrEqual(MAX_FRAMING_BYTES);
});
