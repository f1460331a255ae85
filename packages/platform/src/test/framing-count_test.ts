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
  if (bodyBytes > 0) count.notePart(Buffer.alloc(bodyBytes));
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

const LINES = 'a:\r\n'.repeat(1_000);
const HELD_LINES: Readonly<Record<string, { before: string; body: string; after: string }>> = {
  'of a head': { before: `HTTP/1.1 200 OK\r\n${LINES}\r\n`, body: '', after: '' },
  'of a head with body bytes in one slice': {
    before: `HTTP/1.1 200 OK\r\n${LINES}\r\n`,
    body: '\n'.repeat(500),
    after: '',
  },
  'of trailers with body bytes in one slice': {
    before: 'HTTP/1.1 200 OK\r\n\r\n1\r\n',
    body: '\n',
    after: `\r\n0\r\n${LINES}`,
  },
};
/** Least and most memory that 1,000 lines count as, in bytes; one line takes up to 300. */
const LEAST_HELD_BYTES = 300_000;
const MOST_HELD_BYTES = 600_000;

for (const [name, { before, body, after }] of Object.entries(HELD_LINES)) {
  // Guards against lines that the parser keeps objects for and no limit of memory counts.
  test(`lines count as held memory until the response ends: ${name}`, () => {
    const count = createFramingCount();
    const slice = Buffer.from(before + body + after);
    count.pass(slice);
    count.beginBody();
    if (body) count.notePart(slice.subarray(before.length, before.length + body.length));
    count.settle();
    expect(count.heldBytes()).toBeGreaterThan(LEAST_HELD_BYTES);
    expect(count.heldBytes()).toBeLessThanOrEqual(MOST_HELD_BYTES);
    pass(count, Buffer.from('x'), 1);
    if (!after) expect(count.heldBytes()).toBeGreaterThan(LEAST_HELD_BYTES);
    count.end();
    expect(count.heldBytes()).toEqual(0);
  });
}

// Guards against ordinary responses, and lines of bodies, that count as held memory.
test('an ordinary response holds no memory for its lines', () => {
  const count = createFramingCount();
  const head = `HTTP/1.1 200 OK\r\n${'a: b\r\n'.repeat(30)}\r\n`;
  const slice = Buffer.from(head + '\n'.repeat(1_000));
  count.pass(slice);
  count.beginBody();
  count.notePart(slice.subarray(head.length));
  count.settle();
  expect(count.heldBytes()).toEqual(0);
  expect(count.isExceeded()).toEqual(false);
});

// Guards against lines of a body that count as trailers when a slow reader pauses the parser.
test('bytes that the parser gives back count when it gets them again', () => {
  const count = begunResponse();
  const slice = Buffer.from('1\r\nx\r\n'.repeat(1_000));
  count.pass(slice);
  count.notePart(slice.subarray(3, 4));
  count.giveBack(slice.length - 4);
  count.settle();
  expect(count.heldBytes()).toEqual(0);
});

// Guards against short responses in tiny chunks that use up no budget of the turn, because they end
// in the bytes in which they begin.
test('the parts of a response that ends in a slice count', () => {
  const count = begunResponse();
  const slice = Buffer.from('1\r\nx\r\n'.repeat(1_000));
  count.pass(slice);
  for (let at = 3; at < slice.length; at += 6) count.notePart(slice.subarray(at, at + 1));
  count.end();
  expect(count.settle()).toEqual(true);
  expect(count.excessParts()).toBeGreaterThan(900);
  expect(count.settle()).toEqual(false);
});
