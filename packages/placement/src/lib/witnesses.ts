import type { PlacementView } from './placement-view.js';

/** Number of routers that have to know of a move before its first order is sent. */
const WITNESSES = 2;
/** Maximum number of other routers that are told, until enough know. */
const MAX_CANDIDATES = 4;
/** Time for which a router that did not answer is passed over, in milliseconds. */
const AVOID_MS = 3_000;

/** A part of a leader's placement for a witness. */
export interface PlacementNote {
  readonly view: PlacementView;
  /** True if the view is the whole placement, false if it has only the changes after `after`. */
  readonly isComplete: boolean;
  /** Number of the change after which the changes are complete. */
  readonly after: number;
}

/**
 * Answer of a router that was told of a placement:
 * - `noted`: it knows the placement.
 * - `refused`: it knows a later epoch, or lacks earlier changes.
 * - `silent`: it did not answer in time, or refused the connection: it may live, and know the placement
 *   of before.
 */
export type NoteAnswer = 'noted' | 'refused' | 'silent';

/**
 * Time after the last word of the leader for which a router counts as its witness, in milliseconds.
 */
export const WITNESS_TTL_MS = 3_000;

/** Options of {@link createWitnesses}. */
export interface WitnessesOptions {
  /** Addresses of other routers, the most recently heard first. */
  candidates(): readonly string[];
  tell(address: string, note: PlacementNote): Promise<NoteAnswer>;
  view(): PlacementView;
  /** Monotonic time in milliseconds. */
  now(): number;
  pause(ms: number): Promise<void>;
  /** Ranges that changed after the change with a number. */
  changedSince(change: number): PlacementView['services'];
}

/**
 * Routers that know each move before its first order is sent. If the store forgets a move, and the
 * leader has ended, a witness tells the next leader of it: no server can hold keys that neither the
 * store nor a witness knows of.
 */
export interface Witnesses {
  /**
   * Resolves once the witnesses know the present placement. If none answers any more, resolves
   * after the time for which they may still count as witnesses.
   */
  tell(): Promise<void>;
  addresses(): readonly string[];
}

/** Creates the witnesses of one leader. */
export function createWitnesses(options: WitnessesOptions): Witnesses {
  /** The last change that each witness knows. */
  const known = new Map<string, number>();
  /** When the routers that did not answer may be told again. */
  const avoided = new Map<string, number>();

  async function tellOne(address: string): Promise<NoteAnswer> {
    const view = options.view();
    const after = known.get(address);
    if (after === view.change) return 'noted';
    if (after !== undefined) {
      const services = options.changedSince(after);
      const changes = { view: { ...view, services }, isComplete: false, after };
      const answer = await options.tell(address, changes);
      if (answer !== 'refused') return answer;
    }
    return options.tell(address, { view, isComplete: true, after: 0 });
  }

  async function tellAndNote(address: string): Promise<NoteAnswer> {
    const { change } = options.view();
    const answer = await tellOne(address);
    if (answer === 'noted') {
      known.set(address, change);
      return answer;
    }
    known.delete(address);
    avoided.set(address, options.now() + AVOID_MS);
    return answer;
  }

  const mayTell = (address: string) => options.now() >= (avoided.get(address) ?? -Infinity);

  return {
    async tell() {
      const told = new Set(known.keys());
      const answers = await Promise.all([...told].map(tellAndNote));
      const candidates = new Set(options.candidates());
      let rest = [...candidates].filter((it) => !told.has(it) && mayTell(it));
      rest = rest.slice(0, MAX_CANDIDATES);
      while (known.size < WITNESSES && rest.length > 0) {
        const missing = WITNESSES - known.size;
        await Promise.all(rest.slice(0, missing).map(tellAndNote));
        rest = rest.slice(missing);
      }
      // Former witnesses that live would not tell the next leader of this change.
      if (known.size === 0 && answers.includes('silent')) await options.pause(WITNESS_TTL_MS);
    },
    addresses: () => [...known.keys()],
  };
}
