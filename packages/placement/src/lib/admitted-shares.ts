import type { AdmittedShares } from './overload.js';

/** Absolute and relative change from which a share is published; the smaller one counts. */
const MIN_CHANGE = 0.1;
const MIN_RELATIVE_CHANGE = 0.25;

/** Shares that a leader publishes; their changes are numbered, so that answers carry only the news. */
export interface PublishedShares {
  /** Publishes the shares that differ enough from what is published. */
  update(shares: AdmittedShares): void;
  /** All shares below 1. */
  all(): AdmittedShares;
  /** Shares that changed after the change with a number; 1 if all is admitted again. */
  since(change: number): AdmittedShares;
  /** Number of the last change. */
  change(): number;
}

/** Creates shares of 1. */
export function createPublishedShares(): PublishedShares {
  /** An entry whose share is 1 again stays, for routers that know the former one. */
  const published = new Map<string, { share: number; change: number }>();
  let change = 0;

  function publish(server: string, share: number): void {
    const before = published.get(server)?.share ?? 1;
    const isEnd = share === 1 && before < 1;
    const minChange = Math.min(MIN_CHANGE, before * MIN_RELATIVE_CHANGE);
    if (!isEnd && Math.abs(share - before) < minChange) return;
    change += 1;
    published.set(server, { share, change });
  }

  const select = (isWanted: (it: { share: number; change: number }) => boolean) =>
    new Map(
      [...published].filter(([, it]) => isWanted(it)).map(([server, it]) => [server, it.share]),
    );

  return {
    update(shares) {
      for (const server of new Set([...published.keys(), ...shares.keys()]))
        publish(server, shares.get(server) ?? 1);
    },
    all: () => select(({ share }) => share < 1),
    since: (known) => select((it) => it.change > known),
    change: () => change,
  };
}

/** Time after the leader's last answer from which its shares fade, in milliseconds. */
const FRESH_MS = 2_000;
/** Time in which the refused share then halves, in milliseconds. */
const FADE_HALF_LIFE_MS = 1_000;

/** Shares in the answer of a leader. */
export interface ReceivedShares {
  readonly epoch: number;
  readonly shares: AdmittedShares;
  /** Number of the leader's last change that the answer includes. */
  readonly change: number;
  /** False if the answer has only the shares that changed since the change that was reported. */
  readonly isComplete: boolean;
}

/** The shares that a router knows. */
export interface KnownShares {
  apply(received: ReceivedShares): void;
  /** Number of the last change known of an epoch's leader; 0 if none is. */
  readonly knownChange: (epoch: number) => number;
  /**
   * Share of the requests for a server's keys that the router forwards. Without answers of a leader
   * it approaches 1, so that an outdated limit does not stay.
   */
  readonly shareOf: (server: string) => number;
}

/** Creates shares of 1; `now` is in milliseconds of a monotonic clock. */
export function createKnownShares(now: () => number): KnownShares {
  let shares: AdmittedShares = new Map();
  let known = { epoch: 0, change: 0 };
  let receivedAt = -Infinity;
  return {
    apply(received) {
      shares = received.isComplete ? received.shares : new Map([...shares, ...received.shares]);
      known = { epoch: received.epoch, change: received.change };
      receivedAt = now();
    },
    knownChange: (epoch) => (epoch === known.epoch ? known.change : 0),
    shareOf(server) {
      const share = shares.get(server) ?? 1;
      const fadesForMs = Math.max(0, now() - receivedAt - FRESH_MS);
      return share + (1 - share) * (1 - 0.5 ** (fadesForMs / FADE_HALF_LIFE_MS));
    },
  };
}
