import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { Transform } from 'node:stream';

import { portOf } from './free-ports.js';

/** State of a link: `drop` discards data silently, `reset` resets connections. */
export type LinkState = 'open' | 'drop' | 'reset';

/** A TCP proxy between two named processes that can drop, reset or delay traffic. */
export interface Link extends AsyncDisposable {
  readonly from: string;
  readonly to: string;
  /** Address to which the process `from` connects. */
  readonly address: string;
  /** Sets the state; if data was dropped, all connections are reset when the link opens. */
  set(state: LinkState): void;
  /** Delays traffic in each direction by a time in milliseconds. */
  delay(ms: number): void;
}

const LOOPBACK = '127.0.0.1';

/** Creates a link to a target address on a free port. */
export async function createLink(from: string, to: string, target: string): Promise<Link> {
  const sockets = new Set<Socket>();
  let state: LinkState = 'open';
  let delayMs = 0;
  let hasLostData = false;

  function createFilter(): Transform {
    return new Transform({
      transform(chunk: Buffer, _encoding, done) {
        const pass = () => {
          if (state === 'open') this.push(chunk);
          else hasLostData = true;
          done();
        };
        if (delayMs === 0) pass();
        else setTimeout(pass, delayMs);
      },
    });
  }

  function track(socket: Socket, other: Socket): void {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.once('close', () => {
      sockets.delete(socket);
      if (state !== 'drop') other.destroy();
    });
  }

  function connectToTarget(client: Socket): void {
    if (state === 'reset') {
      client.resetAndDestroy();
      return;
    }
    const upstream = connect(portOf(target), LOOPBACK);
    client.setNoDelay();
    upstream.setNoDelay();
    track(client, upstream);
    track(upstream, client);
    client.pipe(createFilter()).pipe(upstream);
    upstream.pipe(createFilter()).pipe(client);
  }

  function resetAll(): void {
    for (const socket of sockets) socket.resetAndDestroy();
  }

  const server = createServer(connectToTarget);
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  return {
    from,
    to,
    address: `${LOOPBACK}:${(server.address() as AddressInfo).port}`,
    set(next) {
      const mustReset = next === 'open' && hasLostData;
      state = next;
      hasLostData = false;
      if (next === 'reset' || mustReset) resetAll();
    },
    delay(ms) {
      delayMs = ms;
    },
    async [Symbol.asyncDispose]() {
      resetAll();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
