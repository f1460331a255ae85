import { monotonicMs } from '@boragepoint/ownership';

import type { Readiness } from './operators/index.js';
import type { RouterNode } from './router-node.js';

/** Time without the table and without any peer after which a router is not ready. */
const ISOLATION_TIMEOUT_MS = 3_000;

/** Tells whether a router takes requests. */
export interface ReadinessCheck {
  /** Why it is not ready; empty when it is. */
  reasons(): string[];
  readiness(): Readiness;
  /** Makes the router not ready for good, for a shutdown. */
  leave(): void;
}

/** Creates the check of one router. */
export function createReadiness(node: RouterNode): ReadinessCheck {
  let leaving = false;

  function isIsolated(): boolean {
    const hasTable = monotonicMs() - node.sync.lastReadAt() < ISOLATION_TIMEOUT_MS;
    return !hasTable && !node.membership.heardAnyWithin(ISOLATION_TIMEOUT_MS);
  }

  /** One push of rows is not enough: without the table, all rows of some live peer must be held. */
  function hasRows(): boolean {
    if (Number.isFinite(node.sync.lastReadAt())) return true;
    const digest = node.rows.digest();
    const hasAllOf = (id: string, peerDigest: string) =>
      node.membership.isLive(id) && peerDigest === digest;
    const peers = [...node.links.states()];
    return node.map.services().length > 0 && peers.some(([id, it]) => hasAllOf(id, it.rowsDigest));
  }

  function reasons(): string[] {
    const found: string[] = [];
    if (leaving) found.push('the router is shutting down');
    if (!hasRows()) found.push('no configuration was read from the table or from a peer');
    if (isIsolated()) found.push('neither the table nor any peer can be reached');
    return found;
  }

  return {
    reasons,
    readiness() {
      const found = reasons();
      return { ready: found.length === 0, reasons: found };
    },
    leave() {
      leaving = true;
    },
  };
}
