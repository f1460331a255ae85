import { randomInt } from 'node:crypto';
import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';

const LOOPBACK = '127.0.0.1';
/**
 * Range below the ephemeral ports, which the system assigns to outgoing connections. Otherwise a
 * connection could take a port before its server listens, or while its server restarts.
 */
const FIRST_PORT = 16_000;
const END_PORT = 32_000;
const MAX_TRIES = 100;

/**
 * Claims a port for as long as this process runs, by the UDP port of the same number: the TCP port
 * stays free for the server that is to listen, and no other claim can be made meanwhile. Resolves
 * to false if another claim exists.
 */
async function claim(port: number): Promise<boolean> {
  const socket = createSocket('udp4');
  return await new Promise((resolve) => {
    socket.once('error', () => {
      resolve(false);
    });
    socket.bind({ port, address: LOOPBACK, exclusive: true }, () => {
      socket.unref();
      resolve(true);
    });
  });
}

/** Whether a server can listen at a port now. */
async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return await new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, LOOPBACK, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

async function reserve(): Promise<number> {
  for (let i = 0; i < MAX_TRIES; i += 1) {
    const port = randomInt(FIRST_PORT, END_PORT);
    if ((await claim(port)) && (await isFree(port))) return port;
  }
  throw new Error(`no free port from ${FIRST_PORT} to ${END_PORT} in ${MAX_TRIES} attempts`);
}

/**
 * Finds free TCP ports on the loopback address and returns their addresses. No call of any process
 * returns one of them while this process runs.
 */
export async function reserveAddresses(count: number): Promise<string[]> {
  const ports = await Promise.all(Array.from({ length: count }, reserve));
  return ports.map((port) => `${LOOPBACK}:${port}`);
}

/** Returns the port of an address such as `127.0.0.1:8080`. */
export function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1));
}
