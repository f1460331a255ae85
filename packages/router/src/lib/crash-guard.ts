import { createHash } from 'node:crypto';

import type { CrashedRun, ServerDirectory } from '@boragepoint/placement';

import type { CallerRequest } from './caller-request.js';

/** Servers that a request may crash before no router sends it any more. */
export const MAX_CRASHES = 3;
/** How long after a connection broke the end of its server is looked for, in milliseconds. */
const EVIDENCE_MS = 8_000;
const FINGERPRINT_BYTES = 12;

/** Finds requests that crash the backend servers that run them. */
export interface CrashGuard {
  /** A server broke the connection on which it may have run a request. */
  suspect(run: CrashedRun): void;
  /** Runs since the last call whose server has ended since. */
  takeCrashes(): CrashedRun[];
}

/** Identifies equal requests of one caller. */
export function fingerprintOf(req: CallerRequest): string {
  const hash = createHash('sha256');
  hash.update(`${req.method} ${req.route.cfg.host} ${req.target} ${req.caller}\n`);
  if (req.body) hash.update(req.body);
  return hash.digest('base64url').slice(0, FINGERPRINT_BYTES);
}

/**
 * Creates a guard. A broken connection alone proves nothing: links break, too. The run counts as a crash
 * once the registry shows that the server's life is over.
 */
export function createCrashGuard(directory: ServerDirectory, now: () => number): CrashGuard {
  let suspects: { run: CrashedRun; at: number }[] = [];

  function hasEnded({ server, startedMs }: CrashedRun): boolean {
    const known = directory.get(server);
    return known === undefined || known.entry.startedMs > startedMs;
  }

  return {
    suspect(run) {
      suspects.push({ run, at: now() });
    },
    takeCrashes() {
      const crashes = suspects.filter(({ run }) => hasEnded(run)).map(({ run }) => run);
      suspects = suspects.filter(({ run, at }) => !hasEnded(run) && now() < at + EVIDENCE_MS);
      return crashes;
    },
  };
}
