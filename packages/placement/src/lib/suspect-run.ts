import { RunState as WireState, type SuspectRun as WireRun } from '@boragepoint/protocol';

/** Equal requests of one caller have the same identity. */
export interface RequestIdentity {
  /** Identifies equal requests, whoever sent them. */
  readonly request: string;
  readonly caller: string;
}

/**
 * What is known of a run; later states replace earlier ones:
 * - `running`: on its way, told beforehand as equal requests were lost.
 * - `lost`: its connection ended without an answer; what became of the server is not known yet.
 * - `ended`: the server's life ended with it.
 * - `cleared`: it did not end the server, or an equal request was answered since.
 */
export type RunState = 'running' | 'lost' | 'ended' | 'cleared';

/** A request at a backend server, for the question whether it ended the server. */
export interface SuspectRun extends RequestIdentity {
  readonly run: string;
  readonly server: string;
  /** Start of the server's life, in milliseconds of the time of day. */
  readonly startedMs: number;
  readonly state: RunState;
  /** An equal request of another caller was answered since. */
  readonly othersServed: boolean;
}

/** A run and the time since it got into its state, in milliseconds. */
export interface AgedRun extends SuspectRun {
  readonly ageMs: number;
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

/** Joins what two routers know of one run; the same whatever the order. */
export function joinRuns(known: SuspectRun, received: SuspectRun): SuspectRun {
  const state =
    STATE_RANKS[received.state] > STATE_RANKS[known.state] ? received.state : known.state;
  const othersServed = known.othersServed || received.othersServed;
  if (state === known.state && othersServed === known.othersServed) return known;
  return { ...known, state, othersServed };
}

/** A run as it goes over the wire. */
export function encodeRun({ startedMs, state, ageMs, ...run }: AgedRun) {
  return {
    ...run,
    startedMs: BigInt(startedMs),
    state: WIRE_STATES[state],
    ageMs: Math.max(0, Math.round(ageMs)),
  };
}

/** Decodes a run; `undefined` for one in a state that is not known here. */
export function decodeRun(wire: WireRun): AgedRun | undefined {
  const states = Object.keys(WIRE_STATES) as RunState[];
  const state = states.find((it) => WIRE_STATES[it] === wire.state);
  if (!state) return undefined;
  const { request, caller, run, server, othersServed, ageMs } = wire;
  const startedMs = Number(wire.startedMs);
  return { request, caller, run, server, startedMs, state, othersServed, ageMs };
}
