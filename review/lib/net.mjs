/** Small helpers for stand-ins on loopback addresses. */
import { createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

export { sleep };

/** Listens on a loopback port, a free one by default; returns the port. */
export function listen(server, port = 0, host = '127.0.0.1') {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(server.address().port);
    });
  });
}

export function close(server) {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections?.();
  });
}

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 12_000;
const PORTS = 18_000;

async function isFree(port) {
  const server = createServer();
  const isBound = await listen(server, port).then(
    () => true,
    () => false,
  );
  if (isBound) await close(server);
  return isBound;
}

/** Finds free ports. */
export async function freePorts(count) {
  const ports = new Set();
  while (ports.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (await isFree(port)) ports.add(port);
  }
  return [...ports];
}

export async function readText(req) {
  let text = '';
  for await (const chunk of req) text += String(chunk);
  return text;
}
