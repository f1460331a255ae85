/** A proxy that passes bytes on, or holds them up while it is silent. */
import { connect, createServer } from 'node:net';

import { close, listen } from './net.mjs';

export async function startProxy(targetPort) {
  const pairs = new Set();
  let isSilent = false;
  const server = createServer((near) => {
    if (isSilent) {
      // Nobody answers behind a partition.
      near.on('error', () => undefined);
      near.pause();
      const silent = { near, far: near };
      pairs.add(silent);
      near.on('close', () => pairs.delete(silent));
      return;
    }
    const far = connect(targetPort, '127.0.0.1');
    const pair = { near, far };
    pairs.add(pair);
    const end = () => {
      pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    near.on('data', (chunk) => isSilent || far.write(chunk));
    far.on('data', (chunk) => isSilent || near.write(chunk));
    for (const it of [near, far]) it.on('error', end).on('close', end);
  });
  const port = await listen(server);
  return {
    port,
    goSilent() {
      isSilent = true;
    },
    /** Passes new connections on; those from before stay lost. */
    heal() {
      isSilent = false;
      for (const { near, far } of pairs) {
        near.resetAndDestroy();
        far.destroy();
      }
    },
    async stop() {
      for (const { near, far } of pairs) {
        near.destroy();
        far.destroy();
      }
      await close(server);
    },
  };
}
