import type { AdmittedShares } from './overload.js';
import type { QueueDelays } from './owner-queues.js';

/** Part of their latency objective that requests may spend in an owner's queue on average. */
const TARGET_SHARE = 0.25;
/** Increase of the refused share in a step, per second of delay above the target. */
const INTEGRAL_GAIN = 0.1;
/** Increase of the refused share in a step, per second by which the delay has grown since the last. */
const PROPORTIONAL_GAIN = 0.6;
/** Largest refused share: the answers to the rest show when the queue has gone. */
const MAX_REFUSED_SHARE = 0.95;
/** Refused share below which all requests are admitted. */
const MIN_REFUSED_SHARE = 0.02;
/** Factor by which a refused share shrinks in a step without answers. */
const UNANSWERED_DECAY = 0.8;
const MS_PER_S = 1_000;

/**
 * Limits admission to owners with long queues. Proportional-integral control of the queueing delay,
 * as in PIE (RFC 8033): neither the capacity of an owner nor the demand for its keys has to be known,
 * and callers that come back after a refusal don't count twice.
 */
export interface QueueControl {
  /**
   * Adjusts the refused shares of the owners to the delays since the last step, and returns the
   * admitted ones. `objectiveMs` is the usual latency objective of the service's requests. To be
   * called at the interval of balancing plans, on which the gains rest.
   */
  step(owners: readonly string[], delays: QueueDelays, objectiveMs: number): AdmittedShares;
}

interface OwnerState {
  refusedShare: number;
  /** Delay in the last step with answers, in seconds. */
  lastDelayS: number;
}

/** Creates a control that starts from the shares that a former leader admitted. */
export function createQueueControl(former: (owner: string) => number): QueueControl {
  let states = new Map<string, OwnerState>();

  function adjust(state: OwnerState, delayMs: number | undefined, targetS: number): void {
    if (delayMs === undefined) {
      state.refusedShare *= UNANSWERED_DECAY;
      return;
    }
    const delayS = delayMs / MS_PER_S;
    const excessS = delayS - targetS;
    const growthS = delayS - state.lastDelayS;
    const refusedShare = state.refusedShare + INTEGRAL_GAIN * excessS + PROPORTIONAL_GAIN * growthS;
    state.refusedShare = Math.min(MAX_REFUSED_SHARE, Math.max(0, refusedShare));
    state.lastDelayS = delayS;
  }

  return {
    step(owners, delays, objectiveMs) {
      const targetS = (objectiveMs * TARGET_SHARE) / MS_PER_S;
      const next = new Map<string, OwnerState>();
      const shares = new Map<string, number>();
      for (const owner of owners) {
        const state = states.get(owner) ?? { refusedShare: 1 - former(owner), lastDelayS: 0 };
        adjust(state, delays.get(owner), targetS);
        next.set(owner, state);
        if (state.refusedShare >= MIN_REFUSED_SHARE) shares.set(owner, 1 - state.refusedShare);
      }
      states = next;
      return shares;
    },
  };
}
