import { type IncomingMessage, createServer } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { test } from 'node:test';

import { expect } from 'earl';

import { createInputGate } from '../lib/input-gate.js';
import { type BodyFraming, bodyFramingOf, createRequestFraming } from '../lib/request-framing.js';

type BodyOfHead = BodyFraming | undefined;

const MAX_SLICE_BYTES = 16_384;
const head = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
const post = 'POST / HTTP/1.1\r\nhost: a\r\n';

const repeated = (count: number, value: number) => Array.from({ length: count }, () => value);
const bytesOf = (text: string) => text.match(/[^]/g) ?? [];

/** Lengths of the parts in which the parser gets some input. */
function lengthsOf(reads: readonly string[], bodies: readonly BodyOfHead[] = []): number[] {
  const left = [...bodies];
  const framing = createRequestFraming(() => left.shift());
  const lengths: number[] = [];
  for (const read of reads) {
    for (let rest = Buffer.from(read); rest.length > 0;) {
      const length = framing.nextLength(rest);
      lengths.push(length);
      rest = rest.subarray(length);
    }
  }
  return lengths;
}

/** Sends bytes through a gate; returns the sizes of the parts in which their body is received. */
async function partsOf(input: string): Promise<number[]> {
  let latest: IncomingMessage | undefined;
  const sizes: number[] = [];
  const server = createServer((req, res) => {
    latest = req;
    req.on('data', (part: Buffer) => sizes.push(part.length));
    req.on('end', () => res.setHeader('connection', 'close').end());
  });
  server.on('connection', (socket) => {
    createInputGate(socket, {
      mayParse: () => true,
      bodyOf: () => bodyFramingOf(latest),
      onHeld: () => undefined,
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  client.write(input);
  client.resume();
  await new Promise((resolve) => client.once('close', resolve));
  await new Promise((resolve) => server.close(resolve));
  return sizes;
}

// Guards against a read of a thousand requests of which the parser creates all at once.
test('the parser gets at most one request head at once', () => {
  expect(lengthsOf([head])).toEqual([head.length]);
  expect(lengthsOf([head.repeat(1_000)])).toEqual(repeated(1_000, head.length));
  expect(lengthsOf([head.slice(0, -1)])).toEqual([head.length - 1]);
  expect(lengthsOf(['x'.repeat(65_536)])).toEqual(repeated(4, MAX_SLICE_BYTES));
});

// Guards against a head whose end is split over two reads and is passed on with the requests behind it.
test('a head whose end comes in two reads is passed on alone', () => {
  for (const split of [1, 2, 3]) {
    const first = head.length - split;
    const reads = [head.slice(0, first), head.slice(first) + head.repeat(2)];
    expect(lengthsOf(reads)).toEqual([first, split, head.length, head.length]);
  }
  const bytes = bytesOf(head + head);
  expect(lengthsOf(bytes)).toEqual(repeated(bytes.length, 1));
});

// Guards against requests behind a body that the parser gets all at once, together with its end.
test('the end of a body is the end of a part', () => {
  const chunked = '3;name=value\r\na\n0\r\nA\r\n\r\n0123\r\n\r\n\r\n0\r\ntrailer: 0\r\n\r\n';
  const parts = [`${post}\r\n`, chunked, head, `${post}\r\n`, '\r\n\r\n0', head, head];
  const bodies: BodyOfHead[] = [{ kind: 'chunked' }, undefined, { kind: 'length', bytes: 5 }];
  const whole = parts.join('');
  expect(lengthsOf([whole], bodies)).toEqual(parts.map((it) => it.length));
  for (let split = 1; split < whole.length; split += 1) {
    const lengths = lengthsOf([whole.slice(0, split), whole.slice(split)], bodies);
    expect(lengths.length).toBeLessThanOrEqual(parts.length + 1);
    expect(lengths.reduce((sum, it) => sum + it, 0)).toEqual(whole.length);
  }
});

// Guards against a body of line ends that the parser gets in parts of four bytes: it looks like the
// ends of many heads, and 64 KiB took 16,384 calls.
test('the parser gets a body of empty lines in large parts', async () => {
  const body = '\r\n\r\n'.repeat(16_384);
  const framings = [
    [`content-length: ${body.length}`, body],
    ['transfer-encoding: chunked', `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`],
  ];
  for (const [header, content] of framings) {
    const sizes = await partsOf(`${post}${header}\r\n\r\n${content}`);
    expect(sizes.reduce((sum, it) => sum + it, 0)).toEqual(body.length);
    expect(sizes.length).toBeLessThanOrEqual(32);
  }
});
