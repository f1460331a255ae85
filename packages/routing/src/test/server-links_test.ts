import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { createSystemClock } from '../lib/admission/index.js';
import { createServerLinks } from '../lib/dispatch/index.js';
import { withResolvers } from '../lib/ledger/with-resolvers.js';

describe('links to backend servers', () => {
  it('abort an unanswered request when they are disposed of', async () => {
    const arrived = withResolvers<undefined>();
    const server = createServer(() => {
      arrived.resolve(undefined);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const place = { availabilityZone: 'norte', region: 'costa' };
    const links = createServerLinks(createSystemClock());
    const link = links.linkTo({
      id: 'caja-01',
      address,
      connections: 4,
      slots: 2,
      draining: false,
      ...place,
    });

    const asking = link.pool.request({ method: 'POST', path: '/a', signal: links.closing });
    const ended = asking.then(
      () => 'answered',
      () => 'aborted',
    );
    await arrived.promise;
    await links[Symbol.asyncDispose]();
    expect(await ended).toEqual('aborted');
    await new Promise((resolve) => server.close(resolve));
  });
});
