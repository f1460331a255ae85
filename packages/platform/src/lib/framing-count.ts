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
/** Largest part of a head, or of a body in small parts, that the parser gets at once, in bytes. */
const SMALL_SLICE_BYTES = 4 * KIBIBYTE;
/** Largest part of a body that the parser gets at once, in bytes. */
const BODY_SLICE_BYTES = 16 * KIBIBYTE;
/** Lines of a response that count as no held memory; ordinary responses have fewer. */
const FREE_LINES = 64;
/**
 * Memory that each further line takes while its response is held, in bytes. An empty header field
 * was measured at up to 290 bytes in objects of the HTTP library; the rest is for their garbage.
 */
const HELD_LINE_BYTES = 512;
/** Most lines and parts of a body that ordinary responses have in one slice. */
const ORDINARY_PARTS = 64;
const LINE_FEED = 0x0a;

/** Counts the bytes of one connection that belong to no body. */
export interface FramingCount {
  /** Largest part that the parser may get next, in bytes. */
  sliceBytes(): number;
  /** Notes bytes that the parser gets. */
  pass(slice: Buffer): void;
  /** Notes that the parser gave back the last bytes of what it got; it gets them again. */
  giveBack(bytes: number): void;
  /** Notes the final head of a response. */
  beginBody(): void;
  /** Notes bytes that the parser reported as body; the lines before and after them count. */
  notePart(part: Buffer): void;
  /** Notes that the parser has handled what it got; returns whether it got anything. */
  settle(): boolean;
  /**
   * Number of lines and parts of a body beyond those of ordinary responses in the slice that was
   * handled last.
   */
  excessParts(): number;
  /** Memory that the lines of the head and the trailers take, in bytes. */
  heldBytes(): number;
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
  /** Whether the parser got bytes that are not settled. */
  let isPending = false;
  /** The bytes that the parser is handling; `undefined` once the response has ended in them. */
  let slice: Buffer | undefined;
  /** Body bytes that were reported of them. */
  let sliceBodyBytes = 0;
  /** Where the last body bytes end in it; its end if that is unknown. */
  let bodyEnd = 0;
  /** Whether the head ends in it. */
  let hasHead = false;
  /** Whether the head ends in it, and no body bytes after that were reported. */
  let isAtHeadEnd = false;
  /** Lines before the body of the response, interim responses included. */
  let headLines = 0;
  /** Lines and parts of a body in it. */
  let parts = 0;
  /** Bytes and lines since the last bytes of a body. */
  let runBytes = 0;
  let runLines = 0;
  /** Bytes of the response besides its body, and those that may come. */
  let totalBytes = 0;
  let allowedBytes = MAX_FRAMING_BYTES;

  function restart(): void {
    slice = undefined;
    sliceBodyBytes = 0;
    isAtHeadEnd = false;
    headLines = 0;
    runBytes = 0;
    runLines = 0;
    totalBytes = 0;
    allowedBytes = MAX_FRAMING_BYTES;
  }

  /** Counts the lines of the head in the slice in which it ends, up to the body bytes there. */
  function endHead(headBytes: number): void {
    if (!isAtHeadEnd) return;
    isAtHeadEnd = false;
    const lines = slice ? countLines(slice.subarray(0, headBytes)) : 0;
    headLines += lines;
    parts += lines;
  }

  function noteBody(bytes: number): void {
    endHead(0);
    parts += 1;
    sliceBodyBytes += bytes;
    allowedBytes += bytes * FRAMING_PER_BODY_BYTE;
    runBytes = 0;
    runLines = 0;
    bodyEnd = slice?.length ?? 0;
  }

  /** Notes what came in the slice after the last body bytes. */
  function noteRest(passed: Buffer): void {
    const rest = passed.subarray(bodyEnd);
    runBytes += rest.length;
    const lines = countLines(rest);
    runLines += lines;
    parts += lines;
  }

  const excessParts = () => Math.max(0, parts - ORDINARY_PARTS);

  return {
    sliceBytes: () => (isInBody && excessParts() === 0 ? BODY_SLICE_BYTES : SMALL_SLICE_BYTES),
    pass(passed) {
      isPending = true;
      slice = passed;
      sliceBodyBytes = 0;
      bodyEnd = 0;
      hasHead = false;
      parts = 0;
    },
    giveBack(bytes) {
      slice = slice?.subarray(0, Math.max(0, slice.length - bytes));
    },
    beginBody() {
      const headSlice = slice;
      const linesBefore = runLines;
      restart();
      slice = headSlice;
      headLines = linesBefore;
      isInBody = true;
      hasHead = true;
      isAtHeadEnd = true;
    },
    notePart(part) {
      if (slice?.buffer !== part.buffer) {
        noteBody(part.length);
        return;
      }
      const start = part.byteOffset - slice.byteOffset;
      endHead(start);
      noteBody(part.length);
      bodyEnd = start + part.length;
    },
    settle() {
      const wasPending = isPending;
      isPending = false;
      if (!slice) return wasPending;
      if (isAtHeadEnd) endHead(slice.length);
      else noteRest(slice);
      if (!hasHead) totalBytes += slice.length - sliceBodyBytes;
      slice = undefined;
      return wasPending;
    },
    end() {
      restart();
      isInBody = false;
    },
    excessParts,
    heldBytes: () => Math.max(0, headLines + runLines - FREE_LINES) * HELD_LINE_BYTES,
    isExceeded: () =>
      runBytes > MAX_FRAMING_BYTES || runLines > MAX_FRAMING_LINES || totalBytes > allowedBytes,
  };
}
