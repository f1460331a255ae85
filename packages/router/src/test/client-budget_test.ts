import { test } from 'node:test';

import { expect } from 'earl';

import { budgetBytes, createClientBudget } from '../lib/client-budget.js';
import { createGarbagePace } from '../lib/garbage-pace.js';
import { processMemoryMb } from '../lib/process-memory.js';
import { createStalledClients } from '../lib/stalled-clients.js';

const MEBIBYTE = 1 << 20;

// Guards against a router on an instance of 210 MB that holds as much as one of 602 MB.
test('the budget follows from the memory of the instance', () => {
  expect([210, 602].map((it) => Math.round(budgetBytes(it) / 1e6))).toEqual([48, 205]);
  expect(budgetBytes(64)).toEqual(16_000_000);
});

// Guards against a process that holds as if it had 768 MB where its settings name no memory.
test('a process without settings of its memory has the smallest of its limits', () => {
  const sources = { heapLimit: 260_046_848, constrained: 2 ** 64, machine: 8e9 };
  expect(processMemoryMb(sources)).toEqual(260);
  expect(processMemoryMb({ ...sources, constrained: 210e6 })).toEqual(210);
  expect(processMemoryMb({ ...sources, constrained: 0 })).toEqual(260);
  expect(processMemoryMb({ ...sources, machine: 128e6 })).toEqual(128);
});

// Guards against bodies or unread answers that leave no room for the requests of others.
test('no kind takes the whole budget, and all kinds together stay within it', () => {
  const budget = createClientBudget(100);
  expect([budget.hasRoom('bodies', 50), budget.hasRoom('bodies', 51)]).toEqual([true, false]);
  budget.add('bodies', 50);
  budget.add('answers', 45);
  expect([budget.hasRoom('requests', 5), budget.hasRoom('requests', 6)]).toEqual([true, false]);
  expect(budget.hasRoomOfKind('requests', 6)).toEqual(true);
  expect([budget.share(), budget.isShort()]).toEqual([0.95, true]);
  budget.add('bodies', -50);
  budget.add('answers', -45);
  expect([budget.share(), budget.isShort()]).toEqual([0, false]);
});

// Guards against buffers that are no longer used and still take the memory of a small instance.
test('garbage is collected after bytes, not objects', () => {
  const collected: string[] = [];
  const pace = createGarbagePace((generation) => collected.push(generation));
  for (let read = 0; read < 40; read += 1) pace.noteRead(MEBIBYTE / 16);
  expect(collected).toEqual(['young', 'young']);
  for (let released = 0; released < 8; released += 1) pace.noteReleased(MEBIBYTE);
  expect(collected).toEqual(['young', 'young', 'all']);
});

// Guards against clients that hold memory for good, and against cutting those that only wait for
// their answers or go on slowly.
test('a client stalls only while it has to go on and moves nothing', () => {
  let now = 0;
  const stuck = { movedBytes: 5, isAwaited: true };
  const slow = { movedBytes: 5, isAwaited: true };
  const served = { movedBytes: 5, isAwaited: false };
  const clients = createStalledClients<typeof stuck>(
    (it) => it,
    () => 15,
    () => now,
  );
  const all = [stuck, slow, served];
  expect(clients.find(all, true)).toEqual([]);
  now = 14;
  slow.movedBytes += 1;
  expect(clients.find(all, true)).toEqual([]);
  now = 16;
  expect(clients.find(all, false)).toEqual([]);
  expect(clients.find(all, true)).toEqual([{ connection: stuck, forMs: 16 }]);
  now = 30;
  expect(clients.find(all, false)).toEqual([{ connection: stuck, forMs: 30 }]);
});
