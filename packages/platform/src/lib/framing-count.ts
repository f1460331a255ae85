const KIBIBYTE = 1 << 10;
/**
 * Most bytes of a response before its body, including interim responses, and most bytes between two
 * parts of a body or after it. The HTTP library takes 16 KiB of names and values in a head; this also
 * fits their separators, a status line and interim responses.
 */
export const MAX_FRAMING_BYTES = 64 * KIBIBYTE;
/** Most lines in these bytes: the number of header lines that Node's own HTTP parser keeps. */
export const MAX_FRAMING_LINES = 2_000;
/**
 * Bytes besides the body that each byte of the body adds to the limit of a response. A chunk of one
 * byte, which is valid, has five.
 */
const FRAMING_PER_BODY_BYTE = 8;
/** Largest part of a head that the parser gets at once, in bytes. */
const HEAD_SLICE_BYTES = 4 * KIBIBYTE;
/** Largest part of a body that the parser gets at once, in bytes. */
const BODY_SLICE_BYTES = 16 * KIBIBYTE;
const LINE_FEED = 0x0a;

/** Counts the bytes of one connection that belong to no body. */
export interface FramingCount {
  /** Largest part that the parser may get next, in bytes. */
  sliceBytes(): number;
  /** Notes bytes that the parser gets. */
  pass(slice: Buffer): void;
  /** Notes the final head of a response. */
  beginBody(): void;
  /** Notes bytes that the parser reported as body. */
  noteBody(bytes: number): void;
  /** Notes that the parser has handled what it got. */
  settle(): void;
  /** Notes the end of a response; the count begins anew. */
  end(): void;
  /** Whether the connection brought more than valid responses do. */
  isExceeded(): boolean;
}

function countLines(slice: Buffer): number {
  let lines = 0;
  for (let at = slice.indexOf(LINE_FEED); at >= 0; at = slice.indexOf(LINE_FEED, at + 1)) {
    lines += 1;
  }
  return lines;
}

/** Creates the count of a new connection. What arrives between two responses counts to the later. */
export function createFramingCount(): FramingCount {
  let isInBody = false;
  /** The bytes that the parser is handling. */
  let slice: Buffer | undefined;
  /** Body bytes that were reported of them. */
  let sliceBodyBytes = 0;
  /** Bytes and lines since the last bytes of a body. */
  let runBytes = 0;
  let runLines = 0;
  /** Bytes of the response besides its body, and those that may come. */
  let totalBytes = 0;
  let allowedBytes = MAX_FRAMING_BYTES;

  function restart(): void {
    slice = undefined;
    sliceBodyBytes = 0;
    runBytes = 0;
    runLines = 0;
    totalBytes = 0;
    allowedBytes = MAX_FRAMING_BYTES;
  }

  return {
    sliceBytes: () => (isInBody ? BODY_SLICE_BYTES : HEAD_SLICE_BYTES),
    pass(passed) {
      slice = passed;
      sliceBodyBytes = 0;
    },
    beginBody() {
      restart();
      isInBody = true;
    },
    noteBody(bytes) {
      sliceBodyBytes += bytes;
      allowedBytes += bytes * FRAMING_PER_BODY_BYTE;
      runBytes = 0;
      runLines = 0;
    },
    settle() {
      if (!slice) return;
      totalBytes += slice.length - sliceBodyBytes;
      if (sliceBodyBytes === 0) {
        runBytes += slice.length;
        runLines += countLines(slice);
      }
      slice = undefined;
    },
    end() {
      restart();
      isInBody = false;
    },
    isExceeded: () =>
      runBytes > MAX_FRAMING_BYTES || runLines > MAX_FRAMING_LINES || totalBytes > allowedBytes,
  };
}
