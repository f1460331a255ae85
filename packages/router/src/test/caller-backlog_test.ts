import { describe, it } from 'node:test';

import { expect } from 'earl';

import { type ConnectionBacklog, createCallerBacklog } from '../lib/caller-backlog.js';

const LIMITS = {
  maxInProgress: 2,
  maxWaiting: 3,
  maxConnectionBytes: 1_200_000,
  maxTotalBytes: 2_800_000,
};

/** An input that notes whether it is paused. */
function fakeInput() {
  let isPaused = false;
  return {
    pause: () => (isPaused = true),
    resume: () => (isPaused = false),
    isPaused: () => isPaused,
  };
}

/** Lets requests enter, and lists those that may, or false for those that never will. */
function enterAll(connection: ConnectionBacklog, names: readonly string[]) {
  const entered: string[] = [];
  for (const name of names) {
    void connection.enter().then((mayEnter) => entered.push(mayEnter ? name : `${name} refused`));
  }
  return entered;
}

/** Lets promises that are settled call their listeners. */
const settle = () => new Promise((resolve) => setImmediate(resolve));

// Guards against a caller that sends many requests in a pipeline and does not read: their answers
// took so much memory that the process was ended.
describe('requests of a connection whose caller reads slowly', () => {
  it('enter in order, as many at a time as may be in progress', async () => {
    const connection = createCallerBacklog(LIMITS).open(fakeInput());
    const entered = enterAll(connection, ['a', 'b', 'c', 'd']);
    await settle();
    expect(entered).toEqual(['a', 'b']);
    connection.leave();
    await settle();
    expect(entered).toEqual(['a', 'b', 'c']);
  });

  it('wait until unread answers have been read', async () => {
    const connection = createCallerBacklog(LIMITS).open(fakeInput());
    const entered = enterAll(connection, ['a', 'b', 'c']);
    connection.hold(1_190_000);
    connection.leave();
    await settle();
    expect(entered).toEqual(['a', 'b', 'c']);
    expect(connection.tryEnter()).toEqual(false);
    connection.leave(1_190_000);
    expect(connection.tryEnter()).toEqual(true);
  });

  it('enter one by one while large answers are expected', async () => {
    const connection = createCallerBacklog(LIMITS).open(fakeInput());
    for (let count = 0; count < 20; count += 1) {
      await connection.enter();
      connection.hold(1_500_000);
      connection.leave(1_500_000);
    }
    expect([connection.tryEnter(), connection.tryEnter()]).toEqual([true, false]);
  });

  it('never enter once the connection is closed', async () => {
    const connection = createCallerBacklog(LIMITS).open(fakeInput());
    const entered = enterAll(connection, ['a', 'b', 'c']);
    connection.close();
    connection.leave();
    void connection.enter().then((mayEnter) => entered.push(String(mayEnter)));
    await settle();
    expect(entered).toEqual(['a', 'b', 'c refused', 'false']);
  });
});

describe('a connection on which too many requests wait', () => {
  it('is not read from until they have entered', async () => {
    const input = fakeInput();
    const connection = createCallerBacklog(LIMITS).open(input);
    enterAll(connection, ['a', 'b', 'c', 'd']);
    expect(input.isPaused()).toEqual(false);
    enterAll(connection, ['e']);
    expect(input.isPaused()).toEqual(true);
    for (let count = 0; count < 3; count += 1) connection.leave();
    await settle();
    expect(input.isPaused()).toEqual(false);
  });

  it('lets nobody enter ahead of those that wait', async () => {
    const connection = createCallerBacklog(LIMITS).open(fakeInput());
    const entered = enterAll(connection, ['a', 'b', 'c']);
    expect(connection.tryEnter()).toEqual(false);
    connection.leave();
    await settle();
    expect(entered).toEqual(['a', 'b', 'c']);
  });
});

describe('the backlog of all connections', () => {
  it('has room again when answers have been read', async () => {
    const backlog = createCallerBacklog(LIMITS);
    const connections = [
      backlog.open(fakeInput()),
      backlog.open(fakeInput()),
      backlog.open(fakeInput()),
    ];
    for (const connection of connections) {
      await connection.enter();
      connection.hold(960_000);
    }
    expect(backlog.hasRoom()).toEqual(false);
    connections[0]?.leave(960_000);
    expect(backlog.bytes()).toEqual(1_920_000);
    expect(backlog.hasRoom()).toEqual(true);
  });
});
