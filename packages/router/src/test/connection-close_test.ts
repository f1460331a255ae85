import { test } from 'node:test';

import { runSteadyCaller, wholeAnswers } from '@boragepoint/standin';
import { expect } from 'earl';

import { get, listen, serverAnswer } from './listener-harness.js';

// Guards against answers that a close destroys: bytes of a caller that arrive at a closed connection
// reset it, and the system drops what the caller has not received yet.
test('a caller that reads slowly and writes on to the end gets the answer to each request taken', async () => {
  const body = 'x'.repeat(200_000);
  const handled: string[] = [];
  let drained: Promise<void> | undefined;
  const { port, listener } = await listen((req) => {
    handled.push(req.attemptId);
    if (handled.length === 20) {
      listener.announceClose();
      drained = listener.drain();
    }
    return Promise.resolve(serverAnswer(body, true));
  });
  let sent = 0;
  const next = () => {
    sent += 1;
    return get(`/p/${sent}`, `id-${sent}`);
  };
  const { text, end } = await runSteadyCaller({
    port,
    next,
    sendEachMs: 5,
    readBytes: 40_000,
    readEachMs: 10,
  });
  await drained;
  const answers = wholeAnswers(text);
  expect(end).toEqual('end');
  expect(answers.length).toEqual(handled.length);
  expect(answers.at(-1)?.head.toLowerCase().includes('connection: close')).toEqual(true);
});
