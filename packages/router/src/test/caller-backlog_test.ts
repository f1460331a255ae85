import { describe, it } from 'node:test';

import { expect } from 'earl';

import { type ConnectionBacklog, createCallerBacklog } from '../lib/caller-backlog.js';

const LIMITS = { maxInProgress: 2, maxConnectionBytes: 100, maxTotalBytes: 250 };

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
    const connection = createCallerBacklog(LIMITS).open();
    const entered = enterAll(connection, ['a', 'b', 'c', 'd']);
    await settle();
    expect(entered).toEqual(['a', 'b']);
    connection.leave(0);
    await settle();
    expect(entered).toEqual(['a', 'b', 'c']);
  });

  it('wait until unread answers have been read', async () => {
    const connection = createCallerBacklog(LIMITS).open();
    const entered = enterAll(connection, ['a', 'b', 'c']);
    connection.hold(60);
    connection.hold(60);
    connection.leave(0);
    await settle();
    expect(entered).toEqual(['a', 'b']);
    connection.leave(60);
    await settle();
    expect(entered).toEqual(['a', 'b', 'c']);
  });

  it('never enter once the connection is closed', async () => {
    const connection = createCallerBacklog(LIMITS).open();
    const entered = enterAll(connection, ['a', 'b', 'c']);
    connection.close();
    connection.leave(0);
    void connection.enter().then((mayEnter) => entered.push(String(mayEnter)));
    await settle();
    expect(entered).toEqual(['a', 'b', 'c refused', 'false']);
  });
});

describe('the backlog of all connections', () => {
  it('has room again when answers have been read', async () => {
    const backlog = createCallerBacklog(LIMITS);
    const connections = [backlog.open(), backlog.open(), backlog.open()];
    for (const connection of connections) {
      await connection.enter();
      connection.hold(90);
    }
    expect(backlog.hasRoom()).toEqual(false);
    connections[0]?.leave(90);
    expect(backlog.bytes()).toEqual(180);
    expect(backlog.hasRoom()).toEqual(true);
  });
});
