import { createServer, type AddressInfo } from 'node:net';

const LOOPBACK = '127.0.0.1';

/** Reserves free TCP ports of the loopback address and returns their addresses. */
export async function reserveAddresses(count: number): Promise<string[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const listening = servers.map(
    (server) =>
      new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(0, LOOPBACK, resolve);
      }),
  );
  await Promise.all(listening);
  const addresses = servers.map((it) => `${LOOPBACK}:${(it.address() as AddressInfo).port}`);
  await Promise.all(servers.map((it) => new Promise((resolve) => it.close(resolve))));
  return addresses;
}

/** Returns the port of an address such as `127.0.0.1:8080`. */
export function portOf(address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1));
}
