import xxhash from 'xxhash-wasm';

const HASH_BITS = 64n;

/** Hashes keys and names with xxHash64, the same on every router. */
export interface KeyHasher {
  /** Hash of a key within its service. */
  keyHash(service: string, key: string): bigint;
  /** Score of a candidate for a subject, for rendezvous hashing. */
  score(subject: string, candidate: string): bigint;
}

/** Loads the hash function. */
export async function createKeyHasher(): Promise<KeyHasher> {
  const xx = await xxhash();
  return {
    keyHash: (service, key) => xx.h64(`${service}\u0000${key}`),
    score: (subject, candidate) => xx.h64(`${subject}\u0000${candidate}`),
  };
}

/** Returns the shard, from 0, that a hash falls into. `shardCount` is a power of two. */
export function shardOfHash(hash: bigint, shardCount: number): number {
  const bits = BigInt(Math.log2(shardCount));
  return Number(hash >> (HASH_BITS - bits));
}

/**
 * Orders candidates for a subject by rendezvous hashing (Thaler and Ravishankar, 1998): when a
 * candidate leaves, only the subjects for which it came first get another first candidate.
 */
export function rankCandidates(
  hasher: KeyHasher,
  subject: string,
  candidates: readonly string[],
): string[] {
  const scored = candidates.map((name) => ({ name, score: hasher.score(subject, name) }));
  scored.sort((a, b) => (a.score < b.score ? 1 : -1));
  return scored.map((it) => it.name);
}
