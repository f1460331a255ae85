import { execFileSync } from 'node:child_process';
import { type IncomingMessage, createServer } from 'node:http';
import { type AddressInfo, connect } from 'node:net';
import { test } from 'node:test';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';

import { expect } from 'earl';

import { createInputGate } from '../lib/input-gate.js';
import { createParseTurns } from '../lib/parse-turns.js';
import { type BodyFraming, bodyFramingOf, createRequestFraming } from '../lib/request-framing.js';

type BodyOfHead = BodyFraming | undefined;

const MAX_SLICE_BYTES = 16_384;
/** Time after which a byte counts as not read, in milliseconds. */
const UNREAD_MS = 500;
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
      const { length } = framing.nextPart(rest);
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
      mayReadAhead: () => false,
      turns: createParseTurns(),
      bodyFraming: () => bodyFramingOf(latest),
      onHeld: () => undefined,
      onLines: () => undefined,
      receivedAt: () => performance.now(),
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

// Guards against requests behind a body that the parser gets all at once, because the size of a chunk
// is not followed: it may begin with any number of zeros.
test('the size of a chunk is followed behind any number of zeros', () => {
  const zeros = '0'.repeat(15);
  const content = 'xyyffffffff\r\npad__';
  const chunked = `${zeros}${content.length.toString(16)}\r\n${content}\r\n${zeros}\r\n\r\n`;
  const parts = [`${post}\r\n`, chunked, ...repeated(500, 0).map(() => head)];
  const lengths = parts.map((it) => it.length);
  expect(lengthsOf([parts.join('')], [{ kind: 'chunked' }])).toEqual(lengths);
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

// Guards against a read of ten thousand chunks of one byte that the parser gets before another
// connection is read from.
test('the parser gets a limited number of chunks at once', () => {
  const chunks = '1\r\nx\r\n'.repeat(640);
  const parts = lengthsOf([`${post}\r\n${chunks}0\r\n\r\n`], [{ kind: 'chunked' }]).slice(1);
  expect(Math.max(...parts)).toBeLessThanOrEqual(64 * 6);
});

// Guards against connections of which each gets a turn of its own, and against one that goes first
// each time.
test('connections share the chunks of a turn and go on in the order in which they came', async () => {
  const turns = createParseTurns(10);
  const seen: string[] = [];
  const goOn = (name: string) => () => {
    seen.push(name);
    turns.note(10);
  };
  turns.note(9);
  expect(turns.hasRoom()).toEqual(true);
  turns.note(1);
  expect(turns.hasRoom()).toEqual(false);
  const [first, second] = [goOn('first'), goOn('second')];
  for (const it of [first, second, first]) turns.wait(it);
  expect(seen).toEqual([]);
  await nextTurn();
  expect(seen).toEqual(['first']);
  await nextTurn();
  expect(seen).toEqual(['first', 'second']);
  await nextTurn();
  expect([seen.length, turns.hasRoom()]).toEqual([2, true]);
});

const FAILING_TURN = `
  const { createParseTurns } = await import(process.argv[1]);
  process.on('uncaughtException', () => undefined);
  const turns = createParseTurns(10);
  turns.note(10);
  turns.wait(() => {
    throw new Error('the parser failed');
  });
  turns.wait(() => console.log('goes on'));
`;

// Guards against connections that are never read again, because another one failed in their turn. It
// runs in a process of its own, as the test runner takes the error for its own.
test('connections go on although one of them fails', () => {
  const module = new URL('../lib/parse-turns.js', import.meta.url).href;
  const args = ['--input-type=module', '--eval', FAILING_TURN, module];
  expect(execFileSync(process.execPath, args, { encoding: 'utf8' })).toEqual('goes on\n');
});

/** Sends single bytes to a gate that lets nothing pass, until none is read; returns how many were. */
async function countHeldReads(): Promise<number> {
  let reads = 0;
  let noteRead: (() => void) | undefined;
  const server = createServer();
  server.on('connection', (socket) => {
    createInputGate(socket, {
      mayParse: () => false,
      mayReadAhead: () => true,
      turns: createParseTurns(),
      bodyFraming: () => undefined,
      onLines: () => undefined,
      onHeld(difference) {
        reads += Math.sign(difference);
        noteRead?.();
      },
      receivedAt: () => performance.now(),
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const client = connect({ port, host: '127.0.0.1', noDelay: true });
  client.on('error', () => undefined);
  for (let known = -1; known < reads && reads < 1_000;) {
    known = reads;
    const read = new Promise<void>((resolve) => (noteRead = resolve));
    client.write('x');
    await Promise.race([read, sleep(UNREAD_MS)]);
  }
  const held = reads;
  client.resetAndDestroy();
  await new Promise((resolve) => server.close(resolve));
  return held;
}

// Guards against input of single bytes that is read ahead, of which each byte takes an object.
test('a connection whose requests wait holds a limited number of reads', async () => {
  expect(await countHeldReads()).toEqual(64);
});
