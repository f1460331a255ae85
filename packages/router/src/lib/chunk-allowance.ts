/** Chunks of a body that may be of any size. */
const FREE_CHUNKS = 4_096;
/** Mean size below which the chunks of a body that has more of them are tiny, in bytes. */
const MIN_MEAN_CHUNK_BYTES = 32;
/** Bodies of tiny chunks that are read at the same time. */
const MAX_TINY_CHUNK_BODIES = 4;

/** Counts the chunks of one body; disposing of it ends the body. */
export interface ChunkCount extends Disposable {
  /**
   * Notes a chunk of a body that has so many bytes with it. Returns false if the chunks are tiny and
   * too many other bodies of tiny chunks are being read.
   */
  note(bodyBytes: number): boolean;
}

/** Limits the bodies whose chunks cost the parser, which works by chunks, much more than their bytes. */
export interface ChunkAllowance {
  begin(): ChunkCount;
}

/** Creates the allowance that the requests of a listener share. */
export function createChunkAllowance(maxTinyBodies = MAX_TINY_CHUNK_BODIES): ChunkAllowance {
  /** Counts of the bodies of tiny chunks that are being read. */
  const tiny = new Set<ChunkCount>();

  function begin(): ChunkCount {
    let chunks = 0;
    const count: ChunkCount = {
      note(bodyBytes) {
        chunks += 1;
        const isTiny = chunks > FREE_CHUNKS && bodyBytes < chunks * MIN_MEAN_CHUNK_BYTES;
        if (!isTiny || tiny.has(count)) return true;
        if (tiny.size >= maxTinyBodies) return false;
        tiny.add(count);
        return true;
      },
      [Symbol.dispose]() {
        tiny.delete(count);
      },
    };
    return count;
  }

  return { begin };
}
