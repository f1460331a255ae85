const MEBIBYTE = 1 << 20;
/** Requests of one connection that may be in progress at the same time. */
const MAX_IN_PROGRESS = 16;
/** Size of unread answers from which a connection's next request waits, in bytes. */
const MAX_CONNECTION_BYTES = MEBIBYTE;
/** Size of all unread answers from which no request is passed on, in bytes. */
const MAX_TOTAL_BYTES = 64 * MEBIBYTE;

/** Limits of the answers that callers have not read yet. */
export interface CallerBacklogLimits {
  readonly maxInProgress: number;
  readonly maxConnectionBytes: number;
  readonly maxTotalBytes: number;
}

/**
 * Accounts for the answers of one connection. A caller may send requests faster than it reads the
 * answers, so that each request has to enter before it is worked on.
 */
export interface ConnectionBacklog {
  /**
   * Resolves, in the order of the calls, once the connection may have one more request in progress;
   * to false if it may have no more because it is closed.
   */
  enter(): Promise<boolean>;
  /** Accounts for an answer of a request in progress, in bytes. */
  hold(bytes: number): void;
  /** Ends a request in progress, and with it the answer of this size if it held one. */
  leave(heldBytes: number): void;
  /** Number of requests that wait. */
  waiting(): number;
  /** Lets no request enter from now on, those that wait included. */
  close(): void;
}

/** Limits the memory of whole answers that callers have not read yet. */
export interface CallerBacklog {
  /** Opens the account of a connection. */
  open(): ConnectionBacklog;
  /** Returns whether an answer of usual size has room. */
  hasRoom(): boolean;
  /** Size of all answers that callers have not read yet, in bytes. */
  bytes(): number;
}

/** Creates the accounting. */
export function createCallerBacklog({
  maxInProgress = MAX_IN_PROGRESS,
  maxConnectionBytes = MAX_CONNECTION_BYTES,
  maxTotalBytes = MAX_TOTAL_BYTES,
}: Partial<CallerBacklogLimits> = {}): CallerBacklog {
  let totalBytes = 0;

  function open(): ConnectionBacklog {
    const waiting: ((mayEnter: boolean) => void)[] = [];
    let inProgress = 0;
    let ownBytes = 0;
    let isClosed = false;

    const mayEnter = () => inProgress < maxInProgress && ownBytes < maxConnectionBytes;

    function admitWaiting(): void {
      while (waiting.length > 0 && mayEnter()) {
        inProgress += 1;
        waiting.shift()?.(true);
      }
    }

    return {
      enter() {
        if (isClosed) return Promise.resolve(false);
        return new Promise((resolve) => {
          waiting.push(resolve);
          admitWaiting();
        });
      },
      hold(bytes) {
        ownBytes += bytes;
        totalBytes += bytes;
      },
      leave(heldBytes) {
        inProgress -= 1;
        ownBytes -= heldBytes;
        totalBytes -= heldBytes;
        admitWaiting();
      },
      waiting: () => waiting.length,
      close() {
        isClosed = true;
        for (const refuse of waiting.splice(0)) refuse(false);
      },
    };
  }

  return { open, hasRoom: () => totalBytes < maxTotalBytes, bytes: () => totalBytes };
}
