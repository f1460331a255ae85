import { EventEmitter, once } from 'node:events';
import { type Server, type Socket, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { type TestContext, test } from 'node:test';

import type { HeaderCodec } from '@boragepoint/platform';
import { expect } from 'earl';
import { errors } from 'undici';

import { createAnswerMemory } from '../lib/answer-memory.js';
import { type SendOptions, type SendOutcome, sendRequest } from '../lib/send-request.js';
import { createServerConnections } from '../lib/server-connections.js';

const codec: HeaderCodec = {
  readRequest: () => ({ attemptId: undefined, deadlineMs: undefined, key: undefined }),
  readAnswer: (_status, headers) => ({
    attemptId: headers.attempt as string | undefined,
    notRun: headers['not-run'] !== undefined,
    signed: headers.signature !== undefined,
    load: undefined,
    leaving: false,
    backoffMs: undefined,
    limitPerS: undefined,
  }),
  writeRequest: () => ({}),
  writeAnswer: () => ({}),
};

function optionsOf(signal: AbortSignal): SendOptions {
  return {
    codec,
    memory: createAnswerMemory(),
    signal,
    unsentSignal: new AbortController().signal,
    maySend: () => true,
  };
}

/** Sends one request to a server that answers as `reply` does. */
async function sendTo(
  reply: (socket: Socket) => void,
  signal = new AbortController().signal,
): Promise<SendOutcome> {
  // Half-open connections stay open at the server until the router closes them.
  const server: Server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('end', () => socket.end());
    socket.on('error', () => undefined);
    socket.once('data', () => {
      reply(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const connections = createServerConnections(`127.0.0.1:${port}`, {
    connections: 1,
    keepAliveMs: 4_000,
  });
  try {
    return await sendRequest(
      connections,
      { method: 'GET', path: '/', headers: [], body: undefined, attemptId: 'a1' },
      optionsOf(signal),
    );
  } finally {
    connections.close();
    server.close();
  }
}

const HEAD = 'HTTP/1.1 200 OK\r\nattempt: a1\r\nsignature: s\r\n';

const UNFRAMED_HEADS: Readonly<Record<string, string>> = {
  'of HTTP/1.1': `${HEAD}connection: close\r\n`,
  'of HTTP/1.1 that says nothing of closing': HEAD,
  'of HTTP/1.0': HEAD.replace('1.1', '1.0'),
  'of another coding': `${HEAD}transfer-encoding: identity\r\n`,
};
/** How a server ends the connection after the bytes of an answer. */
const ENDINGS: Readonly<
  Record<string, { isOrderly: boolean; end: (socket: Socket, text: string) => void }>
> = {
  'is closed': {
    isOrderly: true,
    end: (socket, text) => socket.end(text, () => socket.destroy()),
  },
  'is half closed': { isOrderly: true, end: (socket, text) => socket.end(text) },
  'is closed and then reset': {
    isOrderly: true,
    end: (socket, text) => socket.end(text, () => socket.resetAndDestroy()),
  },
  'is reset at once': {
    isOrderly: false,
    end: (socket, text) => {
      // The turn of the event loop keeps the reset from overtaking the bytes.
      socket.write(text, () => setImmediate(() => socket.resetAndDestroy()));
    },
  },
  'is reset later': {
    isOrderly: false,
    end: (socket, text) => {
      // The delay keeps the reset from overtaking the bytes, so that the answer has begun.
      socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), 50));
    },
  },
};
const SENDS_PER_ENDING = 40;

for (const [headName, head] of Object.entries(UNFRAMED_HEADS)) {
  for (const [endName, { isOrderly, end }] of Object.entries(ENDINGS)) {
    // Guards against a part of a body that is taken for the whole one because the last bytes and the
    // reset are read together, and against whole answers that are taken for broken ones.
    test(`an answer without framing ${headName} whose connection ${endName}`, async () => {
      const sends = Array.from({ length: SENDS_PER_ENDING }, () =>
        sendTo((socket) => {
          end(socket, `${head}\r\nbody`);
        }),
      );
      for (const outcome of await Promise.all(sends)) {
        const why = 'why' in outcome ? outcome.why : 'whole';
        expect(why).toEqual(isOrderly ? 'whole' : 'broken-off');
      }
    });
  }
}

// Guards against an answer without a body that is taken for one that its connection has to end.
test('an answer that can have no body is complete on a connection that stays open', async () => {
  const outcome = await sendTo((socket) => {
    socket.write('HTTP/1.1 204 No Content\r\nattempt: a1\r\nsignature: s\r\n\r\n');
  });
  expect(outcome.kind === 'answer' && outcome.answer.framed).toEqual(true);
});

test('an answer that is shorter than its content-length is not passed on', async () => {
  const outcome = await sendTo((socket) => {
    socket.end(`${HEAD}content-length: 9\r\n\r\nshort`);
  });
  expect(outcome.kind).toEqual('unknown');
});

test('an answer to another request is not passed on', async () => {
  const outcome = await sendTo((socket) => {
    socket.end('HTTP/1.1 200 OK\r\nattempt: b2\r\nsignature: s\r\ncontent-length: 2\r\n\r\nok');
  });
  expect(outcome).toLooseEqual({
    kind: 'unknown',
    why: 'garbled',
    detail: 'the answer names another request',
  });
});

const NAMELESS_HEADS = {
  success: 'HTTP/1.1 200 OK\r\nsignature: s\r\n',
  failure: 'HTTP/1.1 500 Error\r\nsignature: s\r\n',
  'refusal of a full server': 'HTTP/1.1 503 Full\r\nnot-run: 1\r\n',
  'refusal for another server': 'HTTP/1.1 421 Misdirected\r\n',
  'refusal of a bad request': 'HTTP/1.1 400 Bad\r\nnot-run: 1\r\n',
};

for (const [name, head] of Object.entries(NAMELESS_HEADS)) {
  // Guards against a copy of the answer to an earlier request that is taken for this one's: without
  // an id nothing tells them apart.
  test(`an answer that names no request is not believed: ${name}`, async () => {
    const outcome = await sendTo((socket) => {
      socket.end(`${head}content-length: 2\r\n\r\nok`);
    });
    expect(outcome).toLooseEqual({
      kind: 'unknown',
      why: 'garbled',
      detail: 'the answer names no request',
    });
  });
}

/**
 * When a server duplicates its first answer: while the connection is idle, or after the next
 * request arrived.
 */
type DuplicateTiming = 'idle' | 'in use';

/** Sends two requests, one after the other, to a server that sends its first answer twice. */
async function sendTwice(duplicateTiming: DuplicateTiming): Promise<SendOutcome[]> {
  const answerTo = (id: string) =>
    `HTTP/1.1 200 OK\r\nattempt: ${id}\r\nsignature: s\r\ncontent-length: 2\r\n\r\n${id}`;
  let connectionCount = 0;
  const copies = new EventEmitter();
  const copied = once(copies, 'sent');
  const server: Server = createServer((socket) => {
    connectionCount += 1;
    const isFirst = connectionCount === 1;
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      const id = /GET \/(\w+)/.exec(String(data))?.[1] ?? '';
      const copy = isFirst && duplicateTiming === 'in use' && id === 'a2' ? answerTo('a1') : '';
      socket.write(copy + answerTo(id));
      if (!isFirst || duplicateTiming !== 'idle') return;
      setImmediate(() => {
        socket.write(answerTo('a1'), () => {
          copies.emit('sent');
        });
      });
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const connections = createServerConnections(`127.0.0.1:${port}`, {
    connections: 1,
    keepAliveMs: 4_000,
  });
  const sendAs = (attemptId: string) =>
    sendRequest(
      connections,
      { method: 'GET', path: `/${attemptId}`, headers: [], body: undefined, attemptId },
      optionsOf(new AbortController().signal),
    );
  try {
    const first = await sendAs('a1');
    if (duplicateTiming === 'idle') await copied;
    return [first, await sendAs('a2')];
  } finally {
    connections.close();
    server.close();
  }
}

const bodyOf = (outcome: SendOutcome | undefined) =>
  outcome?.kind === 'answer' ? String(outcome.answer.body) : outcome?.kind;

// Guards against a caller that gets a duplicate of another caller's answer on a reused connection.
test('a duplicate answer is not taken for the next one, whenever it arrives', async () => {
  const [first, next] = await sendTwice('in use');
  expect(bodyOf(first)).toEqual('a1');
  expect(bodyOf(next)).toEqual('unknown');
  const [idleFirst, idleNext] = await sendTwice('idle');
  expect(bodyOf(idleFirst)).toEqual('a1');
  expect(['a2', 'unknown', 'not-run']).toInclude(bodyOf(idleNext) ?? '');
});

test('a success without a signature is not passed on', async () => {
  const outcome = await sendTo((socket) => {
    socket.end('HTTP/1.1 200 OK\r\nattempt: a1\r\ncontent-length: 2\r\n\r\nok');
  });
  expect(outcome.kind).toEqual('unknown');
});

for (const status of ['000', '001', '099', '600', '999']) {
  // Guards against bytes that are no answer and are passed on as one, or that count as the end of the
  // server: HTTP has no such status.
  test(`an answer with the status ${status} is garbled`, async () => {
    const outcome = await sendTo((socket) => {
      socket.end(HEAD.replace('200', status) + 'content-length: 2\r\n\r\nok');
    });
    expect(outcome).toLooseEqual({
      kind: 'unknown',
      why: 'garbled',
      detail: `the answer has the status ${Number(status)}`,
    });
  });
}

test('an answer that says that the request did not run is taken as proof', async () => {
  const outcome = await sendTo((socket) => {
    socket.end('HTTP/1.1 503 Full\r\nattempt: a1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n');
  });
  expect(outcome.kind).toEqual('not-run');
  expect(outcome.kind === 'not-run' && outcome.why).toEqual('shed');
});

test('a refused connection proves that the request did not run', async () => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const connections = createServerConnections(`127.0.0.1:${port}`, {
    connections: 1,
    keepAliveMs: 4_000,
  });
  const outcome = await sendRequest(
    connections,
    { method: 'POST', path: '/', headers: [], body: Buffer.from('x'), attemptId: 'a1' },
    optionsOf(new AbortController().signal),
  );
  connections.close();
  expect(outcome).toLooseEqual({ kind: 'not-run', why: 'refused' });
});

test('a request that the router aborts counts as cancelled, not as broken off by the server', async () => {
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      cancellation.abort();
    });
  });
  const cancellation = new AbortController();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const connections = createServerConnections(`127.0.0.1:${port}`, {
    connections: 1,
    keepAliveMs: 4_000,
  });
  const outgoing = { method: 'GET', path: '/', headers: [], body: undefined, attemptId: 'a1' };
  const outcome = await sendRequest(connections, outgoing, optionsOf(cancellation.signal));
  connections.close();
  server.close();
  expect(outcome).toLooseEqual({ kind: 'unknown', why: 'cancelled', detail: 'cancelled' });
});

test('a request whose connection breaks without an answer may have run', async () => {
  const outcome = await sendTo((socket) => {
    socket.destroy();
  });
  expect(outcome.kind).toEqual('unknown');
});

/** Writes the same bytes repeatedly, as fast as the connection accepts them, until it ends. */
function flood(socket: Socket, bytes: string): void {
  const block = Buffer.from(bytes.repeat(Math.ceil(65_536 / bytes.length)));
  const more = () => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on('drain', more);
  more();
}

const ENDLESS_ANSWERS: Readonly<Record<string, (socket: Socket) => void>> = {
  'a body of no stated length': (socket) => {
    socket.write(`${HEAD}\r\n`);
    flood(socket, 'x');
  },
  'a body in chunks': (socket) => {
    socket.write(`${HEAD}transfer-encoding: chunked\r\n\r\n`);
    flood(socket, '400\r\n' + 'x'.repeat(1_024) + '\r\n');
  },
  'a head of many headers': (socket) => {
    socket.write(HEAD);
    flood(socket, 'a: b\r\n');
  },
  'a head of one long line': (socket) => {
    socket.write(`${HEAD}a: `);
    flood(socket, 'x');
  },
  'trailers after a body': (socket) => {
    socket.write(`${HEAD}transfer-encoding: chunked\r\n\r\n0\r\n`);
    flood(socket, 'a: b\r\n');
  },
  'bytes that are no answer': (socket) => {
    flood(socket, 'nonsense\r\n');
  },
};

for (const [name, reply] of Object.entries(ENDLESS_ANSWERS)) {
  // Guards against a faulty server whose bytes fill the router's memory.
  test(`an endless answer is aborted and its connection closed: ${name}`, async () => {
    let closed: () => void = () => undefined;
    const isClosed = new Promise<void>((resolve) => (closed = resolve));
    const outcome = await sendTo((socket) => {
      socket.on('close', closed);
      reply(socket);
    });
    expect(outcome.kind).toEqual('unknown');
    await isClosed;
  });
}

/** Header lines that stay below the HTTP parser's limit of names and values. */
const SMALL_LINES = 'a:\r\n'.repeat(10_000);
const PADDING = 256 * 1_024;
/** Bytes around a body that no valid response has; the server then waits for the connection's end. */
const EXCESSIVE_FRAMING: Readonly<Record<string, string>> = {
  'small header lines': `${HEAD}${SMALL_LINES}`,
  'interim responses': 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(10_000),
  'a status line': `HTTP/1.1 200 ${'O'.repeat(PADDING)}`,
  'empty lines before a response': '\r\n'.repeat(PADDING / 2),
  'zeros before a chunk size': `${HEAD}transfer-encoding: chunked\r\n\r\n${'0'.repeat(PADDING)}`,
  'a chunk extension': `${HEAD}transfer-encoding: chunked\r\n\r\n1;${'x'.repeat(PADDING)}`,
  'chunks of one byte with long extensions': `${HEAD}transfer-encoding: chunked\r\n\r\n${`1;${'x'.repeat(500)}\r\nb\r\n`.repeat(1_000)}`,
  'small trailers': `${HEAD}transfer-encoding: chunked\r\n\r\n0\r\n${SMALL_LINES}`,
};
const ANSWER_WAIT_MS = 10_000;

for (const [name, bytes] of Object.entries(EXCESSIVE_FRAMING)) {
  // Guards against a faulty server that keeps the router's processor busy, or a request waiting,
  // with bytes that are not part of a body.
  test(`a response is given up when it has too many bytes besides its body: ${name}`, async () => {
    let closed: () => void = () => undefined;
    const isClosed = new Promise<void>((resolve) => (closed = resolve));
    const outcome = await sendTo((socket) => {
      socket.on('close', closed);
      socket.write(bytes);
    }, AbortSignal.timeout(ANSWER_WAIT_MS));
    expect(outcome).toLooseEqual({
      kind: 'unknown',
      why: 'garbled',
      detail: expect.a(String),
    });
    await isClosed;
  });
}

/**
 * Most errors that the parser may create for one head: two for each of the lines of 13 bytes that are
 * left of a part of 4 KiB.
 */
const MAX_HEAD_ERRORS = 640;

/** Counts the errors that the parser creates for heads over its limit, until the test ends. */
function countOverflows(t: TestContext): () => number {
  const { prototype } = errors.HeadersOverflowError;
  let created = 0;
  Object.defineProperty(prototype, 'message', {
    configurable: true,
    set: () => (created += 1),
  });
  t.after(() => Reflect.deleteProperty(prototype, 'message'));
  return () => created;
}

// Guards against a parser that closes the connection and goes on with the rest of what was read: it
// creates an error for each further name and value, which keeps the processor busy.
test('nothing more of a head is parsed once it is beyond the limit of the parser', async (t) => {
  const overflows = countOverflows(t);
  const outcome = await sendTo((socket) => {
    socket.write(HEAD);
    flood(socket, 'a: 12345678\r\n');
  });
  expect(outcome.kind === 'unknown' && outcome.why).toEqual('garbled');
  t.diagnostic(`${overflows()} errors`);
  expect(overflows()).toBeGreaterThan(0);
  expect(overflows()).toBeLessThanOrEqual(MAX_HEAD_ERRORS);
});

/** Valid responses whose framing is large; each has the body `body`. */
const LARGE_FRAMING: Readonly<Record<string, string>> = {
  'a head of 15 KiB in one line': `${HEAD}a: ${'x'.repeat(15 * 1_024)}\r\ncontent-length: 4\r\n\r\nbody`,
  'a head of 1,500 lines': `${HEAD}${'a:b\r\n'.repeat(1_500)}content-length: 4\r\n\r\nbody`,
  'interim responses before it': `${'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'.repeat(100)}${HEAD}content-length: 4\r\n\r\nbody`,
  'a chunk extension of 10 KiB': `${HEAD}transfer-encoding: chunked\r\n\r\n4;x=${'x'.repeat(10_240)}\r\nbody\r\n0\r\n\r\n`,
  'trailers of 10 KiB': `${HEAD}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\na: ${'x'.repeat(10_240)}\r\n\r\n`,
};

for (const [name, bytes] of Object.entries(LARGE_FRAMING)) {
  // Guards against a limit that refuses valid responses.
  test(`a valid response is passed on: ${name}`, async () => {
    const outcome = await sendTo((socket) => socket.write(bytes));
    expect(outcome.kind === 'answer' && outcome.answer.body.toString()).toEqual('body');
  });
}

// Guards against a limit that adds up over the responses of a connection, and against one that
// counts lines or chunks of bodies.
test('a connection carries any number of large responses', async () => {
  const body = '\n'.repeat(200_000);
  const chunks = '1\r\n\n\r\n'.repeat(20_000);
  const replies = [
    `${HEAD}content-length: ${body.length}\r\n\r\n${body}`,
    `${HEAD}transfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`,
    `${HEAD}a: ${'x'.repeat(15_000)}\r\ncontent-length: 0\r\n\r\n`,
  ];
  let opened = 0;
  const server: Server = createServer((socket) => {
    let requests = 0;
    opened += 1;
    socket.on('error', () => undefined);
    socket.on('data', () => {
      socket.write(replies[requests % replies.length] ?? '');
      requests += 1;
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const share = { connections: 1, keepAliveMs: 4_000 };
  const connections = createServerConnections(`127.0.0.1:${port}`, share);
  const outgoing = { method: 'GET', path: '/', headers: [], body: undefined, attemptId: 'a1' };
  const sizes: (number | undefined)[] = [];
  for (let sent = 0; sent < 30; sent += 1) {
    const options = optionsOf(new AbortController().signal);
    const outcome = await sendRequest(connections, outgoing, options);
    sizes.push(outcome.kind === 'answer' ? outcome.answer.body.length : undefined);
  }
  connections.close();
  await new Promise((resolve) => server.close(resolve));
  expect(sizes).toEqual(Array.from({ length: 10 }, () => [200_000, 20_000, 0]).flat());
  expect(opened).toEqual(1);
});

// Guards against endless bytes that the HTTP parser discards: no body grows, and nothing else ends
// the connection.
test('a connection that receives far more bytes than an answer can take is closed', async () => {
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`${HEAD}transfer-encoding: chunked\r\n\r\n400;`);
      flood(socket, 'extension=x;');
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const connections = createServerConnections(`127.0.0.1:${port}`, {
    connections: 1,
    keepAliveMs: 4_000,
  });
  const outgoing = { method: 'GET', path: '/', headers: [], body: undefined, attemptId: 'a1' };
  const sent = sendRequest(connections, outgoing, optionsOf(new AbortController().signal));
  const outcome = await sent;
  connections.close();
  server.close();
  expect(outcome.kind).toEqual('unknown');
});

// Guards against a check of the bytes of a connection that closes it beside valid answers, so that
// the request in flight ends as broken off.
test('a connection stays open however many bytes its valid answers have', async () => {
  const body = 'x'.repeat(1 << 20);
  let opened = 0;
  const server: Server = createServer((socket) => {
    opened += 1;
    socket.on('error', () => undefined);
    socket.on('data', () => socket.write(`${HEAD}content-length: ${body.length}\r\n\r\n${body}`));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const share = { connections: 1, keepAliveMs: 4_000 };
  const connections = createServerConnections(`127.0.0.1:${port}`, share);
  const outgoing = { method: 'GET', path: '/', headers: [], body: undefined, attemptId: 'a1' };
  const kinds: string[] = [];
  for (let sent = 1; sent <= 40; sent += 1) {
    const options = optionsOf(new AbortController().signal);
    kinds.push((await sendRequest(connections, outgoing, options)).kind);
    if (sent % 20 === 0) connections.closeIdle();
  }
  connections.close();
  server.close();
  expect(kinds).toEqual(kinds.map(() => 'answer'));
  expect(opened).toEqual(1);
});

test('an answer that arrives byte by byte is aborted when its request is cancelled', async () => {
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`${HEAD}\r\n`);
      const writeTimer = setInterval(() => socket.write('x'), 5);
      socket.on('close', () => {
        clearInterval(writeTimer);
      });
      setTimeout(() => {
        cancellation.abort();
      }, 50);
    });
  });
  const cancellation = new AbortController();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const share = { connections: 1, keepAliveMs: 4_000 };
  const connections = createServerConnections(`127.0.0.1:${port}`, share);
  const outgoing = { method: 'GET', path: '/', headers: [], body: undefined, attemptId: 'a1' };
  const outcome = await sendRequest(connections, outgoing, optionsOf(cancellation.signal));
  connections.close();
  await new Promise((resolve) => server.close(resolve));
  expect(outcome).toLooseEqual({ kind: 'unknown', why: 'cancelled', detail: 'cancelled' });
});

// Guards against requests that wait for a connection to a server which has asked for back-off
// meanwhile.
test('a request that waits for a connection is cancelled, and one already sent is not', async () => {
  let answer: () => void = () => undefined;
  let requests = 0;
  const server: Server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      answer = () => socket.write(`${HEAD}content-length: 0\r\n\r\n`);
      unsentAbort.abort();
    });
  });
  const unsentAbort = new AbortController();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const share = { connections: 1, keepAliveMs: 4_000 };
  const connections = createServerConnections(`127.0.0.1:${port}`, share);
  const outgoing = { method: 'GET', path: '/', headers: [], body: undefined, attemptId: 'a1' };
  const options = { ...optionsOf(new AbortController().signal), unsentSignal: unsentAbort.signal };
  const first = sendRequest(connections, outgoing, options);
  const second = sendRequest(connections, outgoing, options);
  expect(await second).toLooseEqual({ kind: 'not-run', why: 'paused' });
  answer();
  expect((await first).kind).toEqual('answer');
  connections.close();
  await new Promise((resolve) => server.close(resolve));
  expect(requests).toEqual(1);
});

// Guards against requests that reach a server after its notice or during its back-off: the server had
// said so between its choice and the send.
test('a request is not sent if its server has been given up since it was picked', async () => {
  let connected = 0;
  const server: Server = createServer((socket) => {
    connected += 1;
    socket.destroy();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const share = { connections: 1, keepAliveMs: 4_000 };
  const connections = createServerConnections(`127.0.0.1:${port}`, share);
  const outgoing = { method: 'GET', path: '/', headers: [], body: undefined, attemptId: 'a1' };
  const options = { ...optionsOf(new AbortController().signal), unsentSignal: AbortSignal.abort() };
  const outcome = await sendRequest(connections, outgoing, options);
  expect(outcome).toLooseEqual({ kind: 'not-run', why: 'paused' });
  connections.close();
  await new Promise((resolve) => server.close(resolve));
  expect(connected).toEqual(0);
});

/** Larger than what the operating system holds of a connection that is not read. */
const LARGE_BODY = Buffer.alloc(16 << 20);

// Guards against a request that reaches its server long after its caller has left: what the network
// has not delivered yet would follow once it can, as after a cut path or at a server that reads late.
test('what has not arrived of a cancelled request does not arrive later', async (t) => {
  const events = new EventEmitter();
  let receivedBytes = 0;
  const server: Server = createServer((socket) => {
    socket.on('data', (data) => (receivedBytes += data.length));
    socket.on('error', (err: NodeJS.ErrnoException) => events.emit('ended', err.code));
    socket.once('end', () => events.emit('ended', 'in order'));
    socket.once('data', () => {
      socket.pause();
      events.emit('begun', socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const connections = createServerConnections(`127.0.0.1:${port}`, {
    connections: 1,
    keepAliveMs: 4_000,
  });
  t.after(() => {
    connections.close();
  });
  const caller = new AbortController();
  const begun = once(events, 'begun');
  const ended = once(events, 'ended');
  const sent = sendRequest(
    connections,
    { method: 'POST', path: '/', headers: [], body: LARGE_BODY, attemptId: 'a1' },
    optionsOf(caller.signal),
  );
  const [socket] = (await begun) as [Socket];
  caller.abort();
  expect(await sent).toLooseEqual({ kind: 'unknown', why: 'cancelled', detail: 'cancelled' });
  socket.resume();
  expect(await ended).toEqual(['ECONNRESET']);
  expect(receivedBytes < LARGE_BODY.length).toEqual(true);
});

// Guards against a request that reaches a server although it must not any more when a connection to
// it is established at last.
test('a request that may no longer be sent when its connection is ready does not reach the server', async () => {
  let received = 0;
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => (received += 1));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const connections = createServerConnections(`127.0.0.1:${port}`, {
    connections: 1,
    keepAliveMs: 4_000,
  });
  let asked = 0;
  const outcome = await sendRequest(
    connections,
    { method: 'POST', path: '/', headers: [], body: Buffer.from('body'), attemptId: 'a1' },
    { ...optionsOf(new AbortController().signal), maySend: () => (asked += 1) === 1 },
  );
  expect(outcome).toEqual({ kind: 'not-run', why: 'paused' });
  connections.close();
  await new Promise((resolve) => server.close(resolve));
  expect({ asked, received }).toEqual({ asked: 2, received: 0 });
});
