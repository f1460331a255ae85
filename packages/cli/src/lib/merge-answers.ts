import {
  type BurnPoint,
  type BurnReport,
  type BurnShare,
  type BurnWindow,
  type EventsAnswer,
  type ExplainAnswer,
  type Objective,
  type RuleBurn,
  burnRateOf,
} from '@boragepoint/config';

/** Merges items with the same id from all lists, in the order of their first occurrence. */
function combineById<T>(
  lists: readonly (readonly T[])[],
  idOf: (item: T) => string,
  merge: (a: T, b: T) => T,
): T[] {
  const combined = new Map<string, T>();
  for (const item of lists.flat()) {
    const id = idOf(item);
    const existing = combined.get(id);
    combined.set(id, existing === undefined ? item : merge(existing, item));
  }
  return [...combined.values()];
}

function keepFirst<T>(first: T): T {
  return first;
}

/** Merges the events of several routers without duplicates, oldest first. @internal */
export function mergeEvents(answers: readonly EventsAnswer[]): EventsAnswer {
  const lists = answers.map((it) => it.events);
  const events = combineById(lists, (it) => JSON.stringify(it), keepFirst);
  events.sort((a, b) => a.atMs - b.atMs);
  return { events, truncated: answers.some((it) => it.truncated) };
}

/**
 * Merges the ownership history of one key from several routers without duplicates, newest first.
 * @internal
 */
export function mergeHistories(
  answers: readonly [ExplainAnswer, ...ExplainAnswer[]],
): ExplainAnswer {
  const lists = answers.map((it) => it.history);
  const history = combineById(lists, (it) => JSON.stringify(it), keepFirst);
  history.sort((a, b) => b.epoch - a.epoch || b.atMs - a.atMs);
  return { ...answers[0], history, truncated: answers.some((it) => it.truncated) };
}

function addCounts<T extends BurnWindow | BurnPoint>(a: T, b: T, { target }: Objective): T {
  const good = a.good + b.good;
  const bad = a.bad + b.bad;
  return { ...a, good, bad, burnRate: burnRateOf(good, bad, target) };
}

function addShares(lists: readonly (readonly BurnShare[])[]): BurnShare[] {
  const shares = combineById(
    lists,
    (it) => it.name,
    (a, b) => ({ name: a.name, bad: a.bad + b.bad }),
  );
  return shares.sort((a, b) => b.bad - a.bad);
}

function addRules(a: RuleBurn, b: RuleBurn): RuleBurn {
  const { objective } = a;
  const points = combineById(
    [a.points, b.points],
    (it) => String(it.atMs),
    (x, y) => addCounts(x, y, objective),
  );
  return {
    ...a,
    windows: combineById(
      [a.windows, b.windows],
      (it) => String(it.windowMs),
      (x, y) => addCounts(x, y, objective),
    ),
    points: points.sort((x, y) => x.atMs - y.atMs),
    keys: addShares([a.keys, b.keys]),
    servers: addShares([a.servers, b.servers]),
    causes: addShares([a.causes, b.causes]),
  };
}

/** Merges the burn reports of several routers by adding up their counters. @internal */
export function mergeBurnReports(reports: readonly BurnReport[]): BurnReport {
  const rules = combineById(
    reports.map((it) => it.rules),
    (it) => `${it.service}/${it.rule}`,
    addRules,
  );
  return {
    atMs: reports.reduce((latest, it) => Math.max(latest, it.atMs), 0),
    rules,
    missing: [...new Set(reports.flatMap((it) => it.missing))],
  };
}
