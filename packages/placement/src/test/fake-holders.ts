import type { GrantOrder, OrderOutcome, RangeOrder, ServerOrders } from '@boragepoint/platform';

import type { ServerReach } from '../lib/server-reach.js';

/**
 * How a fake server reacts to orders; `cut` refuses connections from the leader, `closed` from all
 * routers, and another process answers at the address of one that is `taken`.
 */
export type HolderMode = 'answers' | 'silent' | 'cut' | 'closed' | 'taken';

interface Lease {
  first: number;
  last: number;
  fence: number;
  until: number;
}

/** In-memory backend servers that hold leases as granted. */
export interface FakeHolders extends ServerOrders {
  /** Modes by server; servers that are missing answer. */
  modes: Map<string, HolderMode>;
  /** Orders in the sequence in which they were sent, for example `grant a 0-9 #3`. */
  sent: string[];
  /** Returns the servers that hold a key at present. */
  holdersOf(key: number): string[];
  /** Carries out the unanswered grants; their leases start now. */
  deliverLate(): void;
  /** Starts a server again: it holds no keys and has seen no fencing token. */
  restart(server: string): void;
  /** Reaches the servers over another router. */
  readonly reach: Pick<ServerReach, 'isRefusedToAll' | 'release'>;
}

const DONE: OrderOutcome = { kind: 'done', handover: undefined };

/** Creates servers without leases; `now` is their clock in milliseconds. */
export function createFakeHolders(now: () => number): FakeHolders {
  const leases = new Map<string, Lease[]>();
  /** Grants that each server has carried out, including released and expired ones. */
  const seen = new Map<string, Lease[]>();
  let late: (() => void)[] = [];

  function overlaps(a: RangeOrder, b: RangeOrder): boolean {
    return a.first <= b.last && a.last >= b.first;
  }

  /** Carries out a grant unless the server has seen a higher fencing token for one of its keys. */
  function hold(server: string, order: GrantOrder): OrderOutcome {
    const known = seen.get(server) ?? [];
    const isFenced = known.some((it) => overlaps(it, order) && it.fence > order.fence);
    if (isFenced) return { kind: 'fenced' };
    const lease = { ...order, until: now() + order.leaseMs };
    leases.set(server, [...(leases.get(server) ?? []), lease]);
    seen.set(server, [...known, lease]);
    return DONE;
  }

  function drop(server: string, order: RangeOrder): void {
    const held = leases.get(server) ?? [];
    const rest = held.filter((it) => !overlaps(it, order));
    leases.set(server, rest);
  }

  function unavailable(server: string): OrderOutcome | undefined {
    const mode = holders.modes.get(server) ?? 'answers';
    if (mode === 'taken') return { kind: 'misdirected' };
    if (mode === 'closed' || mode === 'cut') return { kind: 'closed' };
    return mode === 'silent' ? { kind: 'unanswered' } : undefined;
  }

  const holders: FakeHolders = {
    modes: new Map(),
    sent: [],
    grant({ serverId }, order) {
      holders.sent.push(`grant ${serverId} ${order.first}-${order.last} #${order.fence}`);
      const failure = unavailable(serverId);
      if (failure?.kind === 'unanswered')
        late.push(() => {
          hold(serverId, order);
        });
      return Promise.resolve(failure ?? hold(serverId, order));
    },
    release({ serverId }, order) {
      holders.sent.push(`release ${serverId} ${order.first}-${order.last} #${order.fence}`);
      const failure = unavailable(serverId);
      if (!failure) drop(serverId, order);
      return Promise.resolve(failure ?? { kind: 'done', handover: `state of ${serverId}` });
    },
    holdersOf(key) {
      const isHeld = (it: Lease) => it.first <= key && it.last >= key && it.until > now();
      return [...leases].filter(([, held]) => held.some(isHeld)).map(([server]) => server);
    },
    deliverLate() {
      for (const deliver of late) deliver();
      late = [];
    },
    restart(server) {
      leases.delete(server);
      seen.delete(server);
    },
    reach: {
      isRefusedToAll: ({ serverId }) => Promise.resolve(holders.modes.get(serverId) === 'closed'),
      release({ serverId }, order) {
        holders.sent.push(
          `relayed release ${serverId} ${order.first}-${order.last} #${order.fence}`,
        );
        if (holders.modes.get(serverId) !== 'cut') return Promise.resolve({ kind: 'unreachable' });
        drop(serverId, order);
        return Promise.resolve({ kind: 'done', handover: `state of ${serverId}` });
      },
    },
  };
  return holders;
}
