import { test } from 'node:test';

import { expect } from 'earl';

import { createAnswerBody } from '../lib/answer-body.js';
import { MAX_ANSWER_BYTES, createAnswerMemory } from '../lib/answer-memory.js';

const KIBIBYTE = 1 << 10;
const READ_BYTES = 64 * KIBIBYTE;

/** Bytes that differ at each position, so that a part in a wrong place shows. */
function patternOf(size: number): Buffer {
  return Buffer.from(Uint8Array.from({ length: size }, (_, index) => (index * 31) ^ (index >> 8)));
}

/** Creates a body that states a length or none; counts its aborts. */
function beginBody(length?: number, memory = createAnswerMemory()) {
  const aborts: string[] = [];
  const room = memory.begin(() => aborts.push('aborted'));
  const body = createAnswerBody(length?.toString(), room, memory.segments);
  const addAll = (bytes: Buffer, partBytes: number) => {
    for (let at = 0; at < bytes.length; at += partBytes) {
      body.add(bytes.subarray(at, at + partBytes));
    }
  };
  return { body, addAll, aborts };
}

test('a body is passed on byte for byte, however its parts are cut', () => {
  for (const size of [0, 1, 400, READ_BYTES, READ_BYTES + 1, 3 * READ_BYTES, 300 * KIBIBYTE]) {
    const bytes = patternOf(size);
    for (const partBytes of [1, 7_001, READ_BYTES]) {
      for (const length of [undefined, size]) {
        const { body, addAll, aborts } = beginBody(length);
        addAll(bytes, partBytes);
        expect(body.whole().equals(bytes)).toEqual(true);
        expect(aborts).toEqual([]);
      }
    }
  }
});

test('a body of the largest size is whole, one byte more aborts it', () => {
  for (const firstBytes of [1, READ_BYTES]) {
    const { body, addAll, aborts } = beginBody();
    body.add(Buffer.alloc(firstBytes));
    addAll(Buffer.alloc(MAX_ANSWER_BYTES - firstBytes), READ_BYTES);
    expect([body.whole().length, aborts.length]).toEqual([MAX_ANSWER_BYTES, 0]);
    body.add(Buffer.alloc(1));
    expect(aborts).toEqual(['aborted']);
  }
});

// Guards against a router that reads megabytes of a body which states that it is too large.
test('a body that states a length beyond the limit is aborted by its first byte', () => {
  const { body, aborts } = beginBody(MAX_ANSWER_BYTES + 1);
  expect(aborts).toEqual([]);
  body.add(Buffer.alloc(1));
  expect(aborts).toEqual(['aborted']);
});

// Guards against answers that change after they were passed on, because their buffers are used again.
test('buffers that are used again belong to no answer', () => {
  const memory = createAnswerMemory();
  const bytes = patternOf(5 * READ_BYTES);
  const first = beginBody(undefined, memory);
  first.addAll(bytes, READ_BYTES);
  const answer = first.body.whole();
  first.body.drop();
  const second = beginBody(undefined, memory);
  second.addAll(Buffer.alloc(5 * READ_BYTES, 'x'), READ_BYTES);
  second.body.drop();
  second.body.drop();
  expect(answer.equals(bytes)).toEqual(true);
  expect(memory.segments.take() === memory.segments.take()).toEqual(false);
});

// Guards against memory by the number of parts: a part held an object and the read that it came with.
test('a body that arrives byte by byte keeps none of its parts', () => {
  const { body } = beginBody();
  const reads = Array.from({ length: 100 }, () => Buffer.alloc(1, 'a'));
  for (const read of reads) body.add(read);
  for (const read of reads) read.fill('b');
  expect(body.whole().toString()).toEqual('a'.repeat(100));
});
