/** Chunks of a body that may be of any size. */
const FREE_CHUNKS = 4_096;
/** Chunks a second below which a body costs the parser too little to count. */
const SLOW_CHUNKS_PER_S = 100;
/** Time over which that rate is measured, in milliseconds. */
const RATE_WINDOW_MS = 1_000;
/** Mean size below which the chunks of a body are tiny, in bytes. */
const MIN_MEAN_CHUNK_BYTES = 32;
/** Bodies of many tiny chunks that are read at the same time. */
const MAX_TINY_CHUNK_BODIES = 4;
const MS_PER_S = 1_000;

/** Counts the chunks of one body; disposing of it ends the body. */
export interface ChunkCount extends Disposable {
  /**
   * Notes a chunk of a body that has so many bytes with it. Returns false if the chunks are tiny and
   * many, and too many other such bodies are being read.
   */
  note(bodyBytes: number): boolean;
}

/** Limits the bodies whose chunks cost the parser, which works by chunks, much more than their bytes. */
export interface ChunkAllowance {
  begin(): ChunkCount;
}

/** How fast the chunks of a body come. */
interface ChunkRate {
  isSlow: boolean;
  windowFrom: number;
  /** Chunks since then. */
  windowChunks: number;
}

/**
 * Creates the allowance that the requests of a listener share. `now` is in milliseconds of a
 * monotonic clock.
 */
export function createChunkAllowance(
  now: () => number,
  maxTinyBodies = MAX_TINY_CHUNK_BODIES,
): ChunkAllowance {
  /** Bodies of tiny chunks that are being read and are not slow. */
  const costly = new Set<ChunkRate>();

  function isSlow(rate: ChunkRate): boolean {
    const forMs = now() - rate.windowFrom;
    if (forMs < RATE_WINDOW_MS) return rate.isSlow;
    rate.isSlow = (rate.windowChunks * MS_PER_S) / forMs < SLOW_CHUNKS_PER_S;
    rate.windowFrom = now();
    rate.windowChunks = 0;
    return rate.isSlow;
  }

  function hasPlace(): boolean {
    for (const rate of costly) if (isSlow(rate)) costly.delete(rate);
    return costly.size < maxTinyBodies;
  }

  function begin(): ChunkCount {
    let chunks = 0;
    const rate: ChunkRate = { isSlow: false, windowFrom: now(), windowChunks: 0 };
    return {
      note(bodyBytes) {
        chunks += 1;
        rate.windowChunks += 1;
        const isTiny = chunks > FREE_CHUNKS && bodyBytes < chunks * MIN_MEAN_CHUNK_BYTES;
        if (!isTiny || isSlow(rate) || costly.has(rate)) return true;
        if (!hasPlace()) return false;
        costly.add(rate);
        return true;
      },
      [Symbol.dispose]() {
        costly.delete(rate);
      },
    };
  }

  return { begin };
}
