import { type AddressInfo, type Socket, createServer } from 'node:net';
import { test } from 'node:test';

import { expect } from 'earl';
import type { Dispatcher } from 'undici';

import { createAnswerMemory } from '../lib/answer-memory.js';
import { sendRequest } from '../lib/send-request.js';
import { type RequestConnections, createServerConnections } from '../lib/server-connections.js';
import { codec } from './server-codec.js';

const FAULTY = 20;
const BODY_BYTES = 50_000;
/**
 * Most parts between two immediate callbacks: two budgets of 512 parts for each of two queues, one
 * of before and one of after the budget is renewed, each exceeded by a slice of 4 KiB.
 */
const MAX_PARTS_PER_TURN = 4 * (512 + 64 + 683);
/** Parts of other responses that may be parsed while an ordinary request is on its way. */
const MAX_PARTS_BEFORE_ORDINARY = 100_000;
const HEAD = 'HTTP/1.1 200 OK\r\nattempt: a1\r\n';

/** Text without repetition, so that a part that is lost or moved shows. */
function numberedLines(bytes: number): string {
  let text = '';
  for (let line = 0; text.length < bytes; line += 1) text += `${line}\n`;
  return text.slice(0, bytes);
}

const BODY = numberedLines(BODY_BYTES);
const CHUNKS = Array.from(BODY, (it) => `1\r\n${it}\r\n`).join('');
const IN_CHUNKS = `${HEAD}transfer-encoding: chunked\r\n\r\n${CHUNKS}0\r\n\r\n`;
const ORDINARY = `${HEAD}content-length: 2\r\n\r\nok`;

/** Calls back for each part of a body that the connections receive. */
function observeParts(connections: RequestConnections, onPart: () => void): RequestConnections {
  const { dispatcher } = connections;
  return {
    dispatcher: {
      dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) {
        return dispatcher.dispatch(options, {
          onRequestStart: (...args) => handler.onRequestStart?.(...args),
          onResponseStart: (...args) => handler.onResponseStart?.(...args),
          onResponseData(...args) {
            onPart();
            handler.onResponseData?.(...args);
          },
          onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
          onResponseError: (...args) => handler.onResponseError?.(...args),
        });
      },
    },
    confirmEnd: () => connections.confirmEnd(),
    resetWhile: (cancel) => {
      connections.resetWhile(cancel);
    },
  };
}

// Guards against a faulty server whose bodies in chunks of one byte take whole turns of the event
// loop, so that the responses of other servers wait for them.
test('bodies in small parts leave other responses their turns', async () => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', (data) => {
      socket.write(String(data).startsWith('GET /ordinary') ? ORDINARY : IN_CHUNKS);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const connections = createServerConnections(`127.0.0.1:${port}`, {
    connections: FAULTY + 1,
    keepAliveMs: 4_000,
  });
  const memory = createAnswerMemory();
  let parts = 0;
  let partsInTurn = 0;
  let mostInTurn = 0;
  let isDone = false;
  let begin: () => void = () => undefined;
  const hasBegun = new Promise<void>((resolve) => (begin = resolve));
  const observed = observeParts(connections, () => {
    parts += 1;
    partsInTurn += 1;
    begin();
  });
  const endTurn = () => {
    mostInTurn = Math.max(mostInTurn, partsInTurn);
    partsInTurn = 0;
    if (!isDone) setImmediate(endTurn);
  };
  endTurn();
  const send = async (path: string) => {
    const outcome = await sendRequest(
      observed,
      { method: 'GET', path, headers: [], body: undefined, attemptId: 'a1' },
      {
        codec,
        memory,
        signal: new AbortController().signal,
        unsentSignal: new AbortController().signal,
        maySend: () => true,
      },
    );
    return outcome.kind === 'answer' ? outcome.answer.body.toString() : outcome.kind;
  };
  const faulty = Array.from({ length: FAULTY }, () => send('/chunks'));
  await hasBegun;
  const partsBefore = parts;
  expect(await send('/ordinary')).toEqual('ok');
  const partsDuring = parts - partsBefore;
  for (const body of await Promise.all(faulty)) expect(body === BODY).toEqual(true);
  isDone = true;
  expect(mostInTurn).toBeLessThanOrEqual(MAX_PARTS_PER_TURN);
  expect(partsDuring).toBeLessThanOrEqual(MAX_PARTS_BEFORE_ORDINARY);
  connections.close();
  for (const socket of sockets) socket.destroy();
  server.close();
});
