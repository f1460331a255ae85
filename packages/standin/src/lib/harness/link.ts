import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { Transform } from 'node:stream';

import { portOf } from './free-ports.js';

/** What a link does to its traffic: `drop` loses it without a sign, `reset` breaks connections. */
export type LinkState = 'open' | 'drop' | 'reset';

/** A TCP proxy between two named processes that can be cut and slowed. */
export interface Link extends AsyncDisposable {
  readonly from: string;
  readonly to: string;
  /** Address that the first process connects to. */
  readonly address: string;
  /** Cuts or opens the link; connections that lost data while it was cut are broken. */
  set(state: LinkState): void;
  /** Delays traffic each way by a time in milliseconds. */
  delay(ms: number): void;
}

const LOOPBACK = '127.0.0.1';

/** Creates a link to a target address on a free port. */
export async function createLink(from: string, to: string, target: string): Promise<Link> {
  const sockets = new Set<Socket>();
  let state: LinkState = 'open';
  let delayMs = 0;
  let lost = false;

  function gate(): Transform {
    return new Transform({
      transform(chunk: Buffer, _encoding, done) {
        const pass = () => {
          if (state === 'open') this.push(chunk);
          else lost = true;
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

  function join(near: Socket): void {
    if (state === 'reset') {
      near.resetAndDestroy();
      return;
    }
    const far = connect(portOf(target), LOOPBACK);
    near.setNoDelay();
    far.setNoDelay();
    track(near, far);
    track(far, near);
    near.pipe(gate()).pipe(far);
    far.pipe(gate()).pipe(near);
  }

  function breakAll(): void {
    for (const socket of sockets) socket.resetAndDestroy();
  }

  const server = createServer(join);
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  return {
    from,
    to,
    address: `${LOOPBACK}:${(server.address() as AddressInfo).port}`,
    set(next) {
      const hasLost = next === 'open' && lost;
      state = next;
      lost = false;
      if (next === 'reset' || hasLost) breakAll();
    },
    delay(ms) {
      delayMs = ms;
    },
    async [Symbol.asyncDispose]() {
      breakAll();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}
