import type { Outcome } from './outcome.js';

/** Permission to send one request. Disposing of it releases it without an outcome. */
export interface Permit extends Disposable {
  /** Records the outcome and releases the permit; later calls have no effect. */
  release(outcome: Outcome): void;
}
