import { RunState as WireState, type SuspectRun as WireRun } from '@boragepoint/protocol';

import { decodeCount, encodeMs } from './wire-number.js';

/** Identity of a request; equal requests of one caller share it. */
export interface RequestIdentity {
  /** Fingerprint of the request; equal for equal requests of different callers. */
  readonly request: string;
  readonly caller: string;
}

/**
 * State of a run; a later state in this list replaces an earlier one:
 * - `running`: the request is in flight. Announced in advance because equal requests were lost.
 * - `lost`: its connection ended without an answer; whether the server crashed is not known yet.
 * - `ended`: the server's process is presumed to have ended with it.
 * - `cleared`: it did not end the server, or an equal request was answered since.
 */
export type RunState = 'running' | 'lost' | 'ended' | 'cleared';

/** One execution of a request at a backend server, which may have crashed the server. */
export interface SuspectRun extends RequestIdentity {
  /** Id of the run. */
  readonly run: string;
  readonly server: string;
  /** Start of the server's incarnation, in milliseconds since the Unix epoch. */
  readonly startedMs: number;
  readonly state: RunState;
  /** An equal request of another caller has been answered since. */
  readonly othersServed: boolean;
}

/** Whether the server of a run ended, or may have ended, with it. */
export const isLoss = ({ state }: Pick<SuspectRun, 'state'>) =>
  state === 'lost' || state === 'ended';

/** A run with the age of its state. */
export interface AgedRun extends SuspectRun {
  /** Time since the run entered its state, in milliseconds. */
  readonly ageMs: number;
}

/** Suspect runs that one router shares with another. */
export interface SuspectUpdate {
  readonly runs: readonly AgedRun[];
  /** Address of the router that shares them. */
  readonly from: string;
}

const STATE_RANKS: Readonly<Record<RunState, number>> = {
  running: 1,
  lost: 2,
  ended: 3,
  cleared: 4,
};

const WIRE_STATES: Readonly<Record<RunState, WireState>> = {
  running: WireState.RUNNING,
  lost: WireState.LOST,
  ended: WireState.ENDED,
  cleared: WireState.CLEARED,
};

/** Joins what two routers know of one run; the result does not depend on the order. */
export function joinRuns(known: SuspectRun, received: SuspectRun): SuspectRun {
  const state =
    STATE_RANKS[received.state] > STATE_RANKS[known.state] ? received.state : known.state;
  const othersServed = known.othersServed || received.othersServed;
  if (state === known.state && othersServed === known.othersServed) return known;
  return { ...known, state, othersServed };
}

/** Encodes a run for the wire. */
export function encodeRun({ startedMs, state, ageMs, ...run }: AgedRun) {
  return {
    ...run,
    startedMs: BigInt(startedMs),
    state: WIRE_STATES[state],
    ageMs: encodeMs(ageMs),
  };
}

/** Decodes a run; returns `undefined` if its state is not known to this version or its start out of range. */
export function decodeRun(wire: WireRun): AgedRun | undefined {
  const states = Object.keys(WIRE_STATES) as RunState[];
  const state = states.find((it) => WIRE_STATES[it] === wire.state);
  const startedMs = decodeCount(wire.startedMs);
  if (!state || startedMs === undefined) return undefined;
  const { request, caller, run, server, othersServed, ageMs } = wire;
  return { request, caller, run, server, startedMs, state, othersServed, ageMs };
}
