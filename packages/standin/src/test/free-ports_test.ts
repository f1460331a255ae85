import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { test } from 'node:test';

import { expect } from 'earl';

import { reserveAddresses } from '../lib/harness/free-ports.js';

const MODULE = new URL('../lib/harness/free-ports.js', import.meta.url).href;
/** A tenth of the range, so that chance would give some of them twice. */
const ADDRESSES = 400;

async function reserveInProcess(): Promise<string[]> {
  const script = `import { reserveAddresses } from ${JSON.stringify(MODULE)};
    console.log((await reserveAddresses(${ADDRESSES})).join());
    await new Promise((resolve) => process.stdin.on('end', resolve).resume());`;
  const child = spawn(process.execPath, ['--input-type=module', '--eval', script]);
  let text = '';
  while (!text.includes('\n')) {
    const [chunk] = (await once(child.stdout, 'data')) as [Buffer];
    text += String(chunk);
  }
  children.push(child);
  return text.trim().split(',');
}

const children: ReturnType<typeof spawn>[] = [];

// Guards against fleets of tests that start at the same time and take each other's ports.
test('no two calls return the same address, in this process or in others that run', async () => {
  const reserved = await Promise.all([
    reserveAddresses(ADDRESSES),
    reserveAddresses(ADDRESSES),
    reserveInProcess(),
    reserveInProcess(),
  ]);
  for (const child of children) child.stdin?.end();
  const addresses = reserved.flat();
  expect(addresses.length).toEqual(4 * ADDRESSES);
  expect(new Set(addresses).size).toEqual(addresses.length);
});
