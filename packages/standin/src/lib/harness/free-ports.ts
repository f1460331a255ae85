import { randomInt } from 'node:crypto';
import { createServer, type Server } from 'node:net';

const LOOPBACK = '127.0.0.1';
/**
 * Range below the ephemeral ports, which the system assigns to outgoing connections. Otherwise a
 * connection could take a port before its server listens, or while its server restarts.
 */
const FIRST_PORT = 16_000;
const END_PORT = 32_000;
const MAX_TRIES = 100;

interface Reservation {
  readonly port: number;
  readonly server: Server;
}

async function tryPort(port: number): Promise<Reservation | undefined> {
  const server = createServer();
  return await new Promise((resolve) => {
    server.once('error', () => {
      resolve(undefined);
    });
    server.listen(port, LOOPBACK, () => {
      resolve({ port, server });
    });
  });
}

async function reserve(): Promise<Reservation> {
  for (let i = 0; i < MAX_TRIES; i += 1) {
    const reservation = await tryPort(randomInt(FIRST_PORT, END_PORT));
    if (reservation !== undefined) return reservation;
  }
  throw new Error(`no free port from ${FIRST_PORT} to ${END_PORT} in ${MAX_TRIES} attempts`);
}

/** Finds free TCP ports on the loopback address and returns their addresses. */
export async function reserveAddresses(count: number): Promise<string[]> {
  const reserved = await Promise.all(Array.from({ length: count }, reserve));
  await Promise.all(reserved.map(({ server }) => new Promise((done) => server.close(done))));
  return reserved.map(({ port }) => `${LOOPBACK}:${port}`);
}

/** Returns the port of an address such as `127.0.0.1:8080`. */
export function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1));
}
