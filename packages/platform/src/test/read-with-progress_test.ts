import { test } from 'node:test';

import { expect } from 'earl';

import { OversizedBodyError, readWithProgress } from '../lib/progress-timeout.js';

const KIBIBYTE = 1 << 10;
const TIMEOUT = { progressed: () => undefined };

// eslint-disable-next-line @typescript-eslint/require-await -- the parts of a body come asynchronously
async function* bodyOf(parts: readonly Uint8Array[]) {
  yield* parts;
}

/** Yields a part again and again, with other contents each time: a kept part would change. */
async function* reusedPart(count: number) {
  const part = Buffer.alloc(1);
  for (let index = 0; index < count; index += 1) {
    part[0] = index % 251;
    yield await Promise.resolve(part);
  }
}

// Guards against memory by the number of parts: an answer in chunks of one byte held an object, and
// the read that it came with, for each of them, and ended its reader far below the maximum size.
test('an answer that arrives byte by byte keeps none of its parts', async () => {
  const count = 40 * KIBIBYTE;
  const body = await readWithProgress(reusedPart(count), TIMEOUT, count);
  const expected = Buffer.from(Uint8Array.from({ length: count }, (_, index) => index % 251));
  expect(body.equals(expected)).toEqual(true);
});

test('a body of the maximum size is whole, one byte more is refused', async () => {
  const parts = [Buffer.alloc(70 * KIBIBYTE, 'a'), new Uint8Array(0), Buffer.alloc(KIBIBYTE, 'b')];
  const body = await readWithProgress(bodyOf(parts), TIMEOUT, 71 * KIBIBYTE);
  expect(body.equals(Buffer.concat(parts))).toEqual(true);
  await expect(
    readWithProgress(bodyOf([...parts, Buffer.alloc(1)]), TIMEOUT, 71 * KIBIBYTE),
  ).toBeRejectedWith(OversizedBodyError);
  expect((await readWithProgress(bodyOf([]), TIMEOUT, 1)).length).toEqual(0);
});
