import type { IncomingMessage } from 'node:http';

/** Largest part of the input that the parser gets at once, in bytes. */
const MAX_SLICE_BYTES = 16 * 1_024;
/** Most chunks that the parser gets at once. */
const MAX_SLICE_CHUNKS = 64;
const HEAD_END = Buffer.from('\r\n\r\n');
const LINE_END = '\n'.charCodeAt(0);
const ZERO = '0'.charCodeAt(0);
const CRLF_BYTES = 2;
/** Characters of the line before a chunk that are kept; its size is at the start. */
const MAX_SIZE_CHARS = 16;
const NOTHING = Buffer.alloc(0);

/** How the end of a request's body is found. */
export type BodyFraming =
  { readonly kind: 'length'; readonly bytes: number } | { readonly kind: 'chunked' };

/**
 * Returns how the end of a request's body is found; `undefined` if it has none, or all of it has been
 * parsed.
 */
export function bodyFramingOf(req: IncomingMessage | undefined): BodyFraming | undefined {
  if (!req || req.complete) return undefined;
  if (req.headers['transfer-encoding'] !== undefined) return { kind: 'chunked' };
  const bytes = Number(req.headers['content-length'] ?? 0);
  return bytes > 0 ? { kind: 'length', bytes } : undefined;
}

/** The part of the input that the parser gets next. */
export interface InputPart {
  /** Size in bytes. */
  readonly length: number;
  /** Number of chunks that begin in it. */
  readonly chunks: number;
  /** Number of lines of a head or of trailers that end in it. */
  readonly lines: number;
}

/** Follows the requests in the input of a connection. */
export interface RequestFraming {
  /**
   * Returns the part that the parser gets next. None goes beyond the end of a head or of a body, so
   * that it holds one request at most.
   */
  nextPart(input: Buffer): InputPart;
}

/** A step within a request: takes the input up to a limit. */
interface Step {
  /** Returns the offset that it has reached; it is done where that is below the limit. */
  take(input: Buffer, limit: number): number;
  /** Number of chunks that began in what it took last. */
  chunks?(): number;
  /** Number of lines of a head or of trailers that ended in what it took last. */
  lines?(): number;
  isDone(): boolean;
}

/** Returns the offset behind the first end of a head, part of which may have come before. */
function findHeadEnd(before: Buffer, input: Buffer, limit: number): number | undefined {
  if (before.length > 0) {
    const boundary = Buffer.concat([before, input.subarray(0, HEAD_END.length - 1)]);
    const index = boundary.indexOf(HEAD_END);
    if (index >= 0) return index + HEAD_END.length - before.length;
  }
  const index = input.subarray(0, limit).indexOf(HEAD_END);
  return index < 0 ? undefined : index + HEAD_END.length;
}

/** The last bytes of an unfinished head that may begin its end. */
function endOfHead(before: Buffer, part: Buffer): Buffer {
  const keep = HEAD_END.length - 1;
  if (part.length >= keep) return Buffer.from(part.subarray(-keep));
  return Buffer.concat([before, part]).subarray(-keep);
}

function countLines(input: Buffer, end: number): number {
  let lines = 0;
  for (let at = input.indexOf(LINE_END); at >= 0 && at < end; at = input.indexOf(LINE_END, at + 1))
    lines += 1;
  return lines;
}

function createHeadStep(): Step {
  let before: Buffer = NOTHING;
  let isDone = false;
  let lines = 0;
  return {
    take(input, limit) {
      const end = findHeadEnd(before, input, limit);
      isDone = end !== undefined;
      if (end === undefined) before = endOfHead(before, input.subarray(0, limit));
      lines = countLines(input, end ?? limit);
      return end ?? limit;
    },
    lines: () => lines,
    isDone: () => isDone,
  };
}

function createLengthStep(bytes: number): Step {
  let left = bytes;
  return {
    take(_input, limit) {
      const taken = Math.min(left, limit);
      left -= taken;
      return taken;
    },
    isDone: () => left === 0,
  };
}

/** Follows chunks and trailers; the parser refuses what is malformed. */
function createChunkedStep(): Step {
  let line = '';
  /** Bytes of the chunk that are still to come, with the line end behind it. */
  let left = 0;
  let isInTrailers = false;
  let chunks = 0;
  let trailers = 0;
  let isDone = false;

  function endLine(): void {
    if (isInTrailers) {
      trailers += 1;
      isDone = line === '' || line === '\r';
    } else {
      const size = parseInt(`0${line}`, 16);
      isInTrailers = size === 0;
      chunks += 1;
      left = isInTrailers ? 0 : size + CRLF_BYTES;
    }
    line = '';
  }

  /** Returns the offset behind the zeros that begin the size of a chunk; there may be any number. */
  function skipZeros(input: Buffer, from: number, end: number): number {
    if (isInTrailers || line !== '') return from;
    let at = from;
    while (at < end && input[at] === ZERO) at += 1;
    return at;
  }

  /** Takes the rest of the line, or what there is of it. */
  function takeLine(input: Buffer, from: number, limit: number): number {
    const found = input.indexOf(LINE_END, from);
    const end = found < 0 || found >= limit ? limit : found;
    if (line.length < MAX_SIZE_CHARS) {
      const start = skipZeros(input, from, end);
      line += input.toString('latin1', start, Math.min(end, start + MAX_SIZE_CHARS));
    }
    if (end === limit) return limit;
    endLine();
    return end + 1;
  }

  return {
    take(input, limit) {
      let at = 0;
      chunks = 0;
      trailers = 0;
      while (at < limit && chunks < MAX_SLICE_CHUNKS && !isDone) {
        const skipped = Math.min(left, limit - at);
        left -= skipped;
        at += skipped;
        if (at < limit) at = takeLine(input, at, limit);
      }
      return at;
    },
    chunks: () => chunks,
    lines: () => trailers,
    isDone: () => isDone,
  };
}

/**
 * Creates the framing of a connection without input. `bodyFraming` is asked after each head that the parser
 * has had, and returns the framing of its body.
 */
export function createRequestFraming(bodyFraming: () => BodyFraming | undefined): RequestFraming {
  let step = createHeadStep();
  let isInHead = true;

  /** Starts with the body of a head that is done, or with the next head. */
  function advance(): void {
    if (!step.isDone()) return;
    const body = isInHead ? bodyFraming() : undefined;
    isInHead = body === undefined;
    if (body === undefined) step = createHeadStep();
    else step = body.kind === 'chunked' ? createChunkedStep() : createLengthStep(body.bytes);
  }

  return {
    nextPart(input) {
      advance();
      const length = step.take(input, Math.min(input.length, MAX_SLICE_BYTES));
      return { length, chunks: step.chunks?.() ?? 0, lines: step.lines?.() ?? 0 };
    },
  };
}
