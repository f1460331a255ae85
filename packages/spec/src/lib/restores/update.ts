import type { Budget, Lead, RestoreOptions, RestoreState, Router, View } from './restore-state.js';

/** A router, and the state that it is part of. */
export interface RouterView {
  readonly state: RestoreState;
  readonly number: number;
  readonly options: RestoreOptions;
}

export function spend(budget: Budget, name: keyof Budget): Budget {
  return { ...budget, [name]: budget[name] - 1 };
}

export function routerOf({ state, number }: RouterView): Router {
  const router = state.routers[number];
  if (router === undefined) throw new Error(`no router ${number}`);
  return router;
}

export function withRouter(
  state: RestoreState,
  number: number,
  change: Partial<Router>,
): RestoreState {
  const router = routerOf({ state, number } as RouterView);
  return { ...state, routers: state.routers.with(number, { ...router, ...change }) };
}

export function other(server: number): number {
  return 1 - server;
}

/** What a leader's router knows once it no longer leads. */
export function viewOf(number: number, incarnation: number, { owner, fence }: Lead): View {
  return { leader: number, incarnation, owner, fence };
}

export function newest(views: readonly (View | undefined)[]): View | undefined {
  return views.reduce(
    (best, it) => (it && (!best || it.fence > best.fence) ? it : best),
    undefined,
  );
}

/** Maps a list; returns the same list if no element changes. */
export function mapped<T>(list: readonly T[], change: (element: T) => T): readonly T[] {
  const next = list.map(change);
  return next.every((it, index) => it === list[index]) ? list : next;
}
