import type { Step } from '../model/explore.js';
import type { RestoreOptions, RestoreState, Row, Store } from './restore-state.js';
import { COPIED_ROWS } from './scenarios.js';
import { spend } from './update.js';

type Steps = Step<RestoreState>[];

/** Key of the row of an era. */
export function keyOf(era: number, { mutation }: RestoreOptions): number {
  return mutation === 'era-row' ? 0 : era;
}

/** The row of the store's present era, if there is one. */
export function currentRow(store: Store, options: RestoreOptions): Row | undefined {
  const row = store.rows[keyOf(store.era, options)];
  return row?.era === store.era ? row : undefined;
}

/** Version of the row that a first write of an era expects. */
export function versionAt(store: Store, key: number): number {
  return store.rows[key]?.version ?? 0;
}

/** The store comes back from its copy once more, or a delayed write arrives. @internal */
export function storeSteps(state: RestoreState): Steps {
  return [...comesBack(state), ...writeArrives(state)];
}

/** It loses all of the present era, or nothing. */
function comesBack(state: RestoreState): Steps {
  const { store, budget } = state;
  if (budget.restores === 0) return [];
  const era = store.era + 1;
  const spent = { ...state, budget: spend(budget, 'restores') };
  const name = `the store comes back with era ${era}`;
  return [
    { name, next: { ...spent, store: { ...store, era, rows: COPIED_ROWS } } },
    { name: `${name}, nothing is lost`, next: { ...spent, store: { ...store, era } } },
  ];
}

/** The answer of a delayed write is lost; the leader repeats the write. */
function writeArrives(state: RestoreState): Steps {
  const { store, write } = state;
  if (write === undefined) return [];
  const name = `the delayed write of router ${write.router} arrives`;
  if (versionAt(store, write.key) !== write.expectedVersion) {
    return [{ name: `${name} and is refused`, next: { ...state, write: undefined } }];
  }
  const rows = store.rows.with(write.key, write.row);
  return [
    {
      name: `${name} and takes effect`,
      next: { ...state, store: { ...store, rows }, write: undefined },
    },
  ];
}
