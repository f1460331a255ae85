import { test } from 'node:test';

import { expect } from 'earl';

import { createKnownPeers } from '../lib/known-peers.js';

// Guards against an address of the stored placement that is asked for the leader, again and again.
test('an address that cannot be called is not kept', () => {
  const peers = createKnownPeers('10.0.0.1:7');
  peers.note(['10.0.0.2:7', '10.0.0.2:70000', '10.0.0.999:7', '', '10.0.0.1:7', '[::1]:7']);
  expect(peers.all()).toEqual(['10.0.0.2:7', '[::1]:7']);
});
