import { monotonicMs } from '@boragepoint/ownership';

import type { Readiness } from './operators/index.js';
import type { RouterNode } from './router-node.js';

/** Time without contact to the table and to any peer after which a router is not ready. */
const ISOLATION_TIMEOUT_MS = 3_000;

/** Checks whether a router accepts requests. */
export interface ReadinessCheck {
  /** Reasons why the router is not ready; empty when it is ready. */
  reasons(): string[];
  readiness(): Readiness;
  /** Makes the router permanently not ready, for a shutdown. */
  leave(): void;
}

/** Creates the readiness check of one router. */
export function createReadiness(node: RouterNode): ReadinessCheck {
  let leaving = false;

  function isIsolated(): boolean {
    const hasTable = monotonicMs() - node.sync.lastReadAt() < ISOLATION_TIMEOUT_MS;
    return !hasTable && !node.membership.heardAnyWithin(ISOLATION_TIMEOUT_MS);
  }

  /**
   * True when this router has a complete set of rows: it has read the table, or its digest equals
   * that of a live peer. A single push from a peer carries only some of the rows.
   */
  function hasRows(): boolean {
    if (Number.isFinite(node.sync.lastReadAt())) return true;
    const digest = node.rows.digest();
    const matchesLivePeer = (id: string, peerDigest: string) =>
      node.membership.isLive(id) && peerDigest === digest;
    const peers = [...node.links.states()];
    return (
      node.map.services().length > 0 && peers.some(([id, it]) => matchesLivePeer(id, it.rowsDigest))
    );
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
