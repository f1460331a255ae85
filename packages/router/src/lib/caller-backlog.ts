const MEBIBYTE = 1 << 20;
/** Requests of one connection that may be in progress at the same time. */
const MAX_IN_PROGRESS = 16;
/** Requests of one connection that may wait before no more are read. */
const MAX_WAITING = 64;
/**
 * Size of unread and expected answers from which a connection's next request waits, in bytes; one
 * request alone does not wait.
 */
const MAX_CONNECTION_BYTES = MEBIBYTE;
/** The same for all connections together, in bytes; from there on, unread answers make no room. */
export const MAX_TOTAL_BYTES = 64 * MEBIBYTE;
/** Size of an answer that is expected before any was seen, in bytes. */
const FIRST_EXPECTED_BYTES = MEBIBYTE / 2;
/** Weight of the latest answer in the expected size. */
const LATEST_WEIGHT = 1 / 8;

/** Limits of the answers that callers have not read yet. */
export interface CallerBacklogLimits {
  readonly maxInProgress: number;
  readonly maxWaiting: number;
  readonly maxConnectionBytes: number;
  readonly maxTotalBytes: number;
}

/**
 * Accounts for the answers of one connection. A caller may send requests faster than it reads the
 * answers, so that each request has to enter before it is worked on.
 */
export interface ConnectionBacklog {
  /** Takes a request into progress if it may be at once; returns whether it was. */
  tryEnter(): boolean;
  /**
   * Resolves, in the order of the calls, once the connection may have one more request in progress;
   * to false if it may have no more because it is closed.
   */
  enter(): Promise<boolean>;
  /** Accounts for an answer of a request in progress, in bytes. */
  hold(bytes: number): void;
  /** Ends a request in progress, and with it the answer of this size if it holds one. */
  leave(heldBytes?: number): void;
  /** Number of requests that wait. */
  waiting(): number;
  /** Lets no request enter from now on, those that wait included. */
  close(): void;
  isClosed(): boolean;
}

/** The input of a connection. */
export interface PausableInput {
  pause(): unknown;
  resume(): unknown;
  isPaused(): boolean;
}

/** Limits the memory of whole answers that callers have not read yet. */
export interface CallerBacklog {
  /** Opens the account of a connection, which is not read from while too many requests wait. */
  open(input: PausableInput): ConnectionBacklog;
  /** Returns whether an answer of usual size has room. */
  hasRoom(): boolean;
  /** Size of all answers that callers have not read yet, in bytes. */
  bytes(): number;
}

/** Creates the accounting; `onHeld` is called with each change of the bytes that are held. */
export function createCallerBacklog(
  {
    maxInProgress = MAX_IN_PROGRESS,
    maxWaiting = MAX_WAITING,
    maxConnectionBytes = MAX_CONNECTION_BYTES,
    maxTotalBytes = MAX_TOTAL_BYTES,
  }: Partial<CallerBacklogLimits> = {},
  onHeld: (difference: number) => void = () => undefined,
): CallerBacklog {
  let expectedBytes = FIRST_EXPECTED_BYTES;
  let totalBytes = 0;
  /** Requests in progress whose answers are not there yet. */
  let totalExpected = 0;

  function open(input: PausableInput): ConnectionBacklog {
    const waiting: ((mayEnter: boolean) => void)[] = [];
    let inProgress = 0;
    let ownExpected = 0;
    let ownBytes = 0;
    let isClosed = false;

    function mayEnter(): boolean {
      if (inProgress === 0) return true;
      const ownCommitted = ownBytes + ownExpected * expectedBytes;
      const committed = totalBytes + totalExpected * expectedBytes;
      const hasRoom = ownCommitted < maxConnectionBytes && committed < maxTotalBytes;
      return inProgress < maxInProgress && hasRoom;
    }

    function noteEntered(): void {
      inProgress += 1;
      ownExpected += 1;
      totalExpected += 1;
    }

    function noteAnswered(): void {
      ownExpected -= 1;
      totalExpected -= 1;
    }

    function admitWaiting(): void {
      while (waiting.length > 0 && mayEnter()) {
        noteEntered();
        waiting.shift()?.(true);
      }
      if (waiting.length === 0 && input.isPaused()) input.resume();
    }

    return {
      tryEnter() {
        const isAdmitted = !isClosed && waiting.length === 0 && mayEnter();
        if (isAdmitted) noteEntered();
        return isAdmitted;
      },
      enter() {
        if (isClosed) return Promise.resolve(false);
        return new Promise((resolve) => {
          waiting.push(resolve);
          admitWaiting();
          if (waiting.length >= maxWaiting) input.pause();
        });
      },
      hold(bytes) {
        noteAnswered();
        expectedBytes += (bytes - expectedBytes) * LATEST_WEIGHT;
        ownBytes += bytes;
        totalBytes += bytes;
        onHeld(bytes);
      },
      leave(heldBytes) {
        inProgress -= 1;
        if (heldBytes === undefined) noteAnswered();
        ownBytes -= heldBytes ?? 0;
        totalBytes -= heldBytes ?? 0;
        if (heldBytes !== undefined) onHeld(-heldBytes);
        admitWaiting();
      },
      waiting: () => waiting.length,
      isClosed: () => isClosed,
      close() {
        isClosed = true;
        for (const refuse of waiting.splice(0)) refuse(false);
      },
    };
  }

  return { open, hasRoom: () => totalBytes < maxTotalBytes, bytes: () => totalBytes };
}
