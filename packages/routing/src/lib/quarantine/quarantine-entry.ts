import { createHash } from 'node:crypto';

/** What is known of one request fingerprint, in the form that peers exchange. */
export interface QuarantineEntry {
  readonly service: string;
  readonly fingerprint: string;
  /** True: it was in flight when a backend server died, and runs alone next. False: it is barred. */
  readonly suspect: boolean;
  /** True when an operator or a clean run released it. */
  readonly released: boolean;
  /** Wall-clock time at which the entry lapses. */
  readonly expiresAtMs: number;
  /** Wall-clock time of the change; the newest change wins. */
  readonly changedAtMs: number;
}

/** The parts of a request that make it the same request when its caller sends it again. */
export interface FingerprintInput {
  readonly service: string;
  readonly method: string;
  /** Path with the query. */
  readonly path: string;
  readonly body: Uint8Array;
}

const FINGERPRINT_HEX_DIGITS = 32;

/** Hashes a request. Headers are left out, since a repeat may carry others. */
export function fingerprintOf(req: FingerprintInput): string {
  const head = JSON.stringify([req.service, req.method, req.path]);
  const hash = createHash('sha256').update(head).update('\n').update(req.body);
  return hash.digest('hex').slice(0, FINGERPRINT_HEX_DIGITS);
}

/** Strength of an entry among changes of the same time: released before barred before suspect. */
function rank(entry: QuarantineEntry): number {
  const releasedRank = entry.released ? 2 : 0;
  return releasedRank + (entry.suspect ? 0 : 1);
}

/** Tells whether an entry replaces the one held. The order is total, so all routers agree. */
export function supersedes(next: QuarantineEntry, held: QuarantineEntry | undefined): boolean {
  if (held === undefined) return true;
  if (next.changedAtMs !== held.changedAtMs) return next.changedAtMs > held.changedAtMs;
  if (rank(next) !== rank(held)) return rank(next) > rank(held);
  return next.expiresAtMs > held.expiresAtMs;
}
