import { CATALOGUE, KEY_NAMES } from '../demo/demo-plan.js';
import { monotonicMs } from '../clock.js';
import { collectTrace } from '../harness/collect-trace.js';
import { createOperatorApi, type OperatorAnswer } from '../harness/operator-api.js';
import { drainServer } from '../harness/operator-tool.js';
import { waitUntil } from '../harness/wait-until.js';
import { keysServedBy, pick, type CaseContext, type FaultCase, type Figure } from './fault-case.js';
import { unservedFigures, waitUntilMoved, waitUntilServed } from './unserved-time.js';

const MAX_NEW_WORK_MS = 2_000;
/** Time after the drain was accepted for which the drained server is observed at least. */
const OBSERVATION_MS = 2_000;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const IN_FORCE_TIMEOUT_MS = 10_000;
const MOVE_RATES = [41, 42, 43] as const;

async function lastRunAt({ fleet }: CaseContext, server: string): Promise<number> {
  const trace = await collectTrace(fleet, []);
  const runs = trace.filter((it) => it.kind === 'ran' && it.server === server);
  return Math.max(...runs.map((it) => it.at));
}

/** A backend server is drained while it runs requests. */
export const drain: FaultCase = {
  name: 'drain',
  guarantee: 'a drained server begins no new work after 2 s, and no key is unserved',
  async run(context) {
    const { fleet, probe, random } = context;
    const server = pick(fleet.backendServers, random);
    const keys = keysServedBy(probe, [server]);
    const from = monotonicMs();
    await drainServer(fleet, CATALOGUE.name, server.id);
    const acceptedAt = monotonicMs();
    await waitUntilMoved(() => keysServedBy(probe, [server]));
    const watchedAt = Math.max(monotonicMs(), acceptedAt + OBSERVATION_MS);
    await waitUntil('time after the drain', () => (monotonicMs() > watchedAt ? true : undefined));
    await waitUntilServed(probe, watchedAt);
    const lastRun = Math.max(0, Math.round((await lastRunAt(context, server.id)) - acceptedAt));
    return [
      ...unservedFigures(probe, keys, from),
      { name: 'last new work ms', value: lastRun, atMost: MAX_NEW_WORK_MS },
    ];
  },
};

function count(answers: readonly OperatorAnswer[], status: number): number {
  return answers.filter((it) => it.status === status).length;
}

async function raceConfigurations({ fleet }: CaseContext): Promise<Figure[]> {
  const apis = fleet.routers.map((it) => createOperatorApi(it.operators, fleet.token));
  const [first] = apis;
  if (first === undefined) throw new Error('the case needs at least one router');
  const { version, config } = await first.service(CATALOGUE.name);
  const answers = await Promise.all(
    apis.map((api, index) =>
      api.putService(CATALOGUE.name, {
        expectedVersion: version,
        writer: `operator-${index}`,
        config: { ...config, movesPerMinute: MOVE_RATES[index % MOVE_RATES.length] },
      }),
    ),
  );
  const winner = answers.findIndex((it) => it.status === HTTP_OK);
  const inForce = async () => {
    const documents = await Promise.all(apis.map((api) => api.service(CATALOGUE.name)));
    return documents.every((it) => it.writer === `operator-${winner}`) ? true : undefined;
  };
  await waitUntil('one configuration on every router', inForce, IN_FORCE_TIMEOUT_MS);
  return [
    { name: 'configurations accepted', value: count(answers, HTTP_OK), atLeast: 1, atMost: 1 },
    {
      name: 'operators told of the conflict',
      value: count(answers, HTTP_CONFLICT),
      atLeast: apis.length - 1,
    },
  ];
}

async function raceMoves({ fleet, random }: CaseContext): Promise<Figure[]> {
  const apis = fleet.routers.map((it) => createOperatorApi(it.operators, fleet.token));
  const key = pick(KEY_NAMES, random);
  const before = await pick(apis, random).owner(CATALOGUE.name, key);
  const targets = fleet.backendServers.map((it) => it.id).filter((id) => id !== before.owner);
  const answers = await Promise.all(
    apis.map((api, index) => {
      const to = targets[index % targets.length] ?? '';
      return api.move({ service: CATALOGUE.name, key, to });
    }),
  );
  const agreed = async () => {
    const owners = await Promise.all(apis.map((api) => api.owner(CATALOGUE.name, key)));
    return new Set(owners.map((it) => `${it.owner} ${it.epoch}`)).size === 1 ? true : undefined;
  };
  await waitUntil('one owner on every router', agreed, IN_FORCE_TIMEOUT_MS);
  const decided = answers.filter((it) => it.status === HTTP_OK || it.status === HTTP_CONFLICT);
  return [
    { name: 'moves accepted', value: count(answers, HTTP_OK), atLeast: 1 },
    {
      name: 'moves neither accepted nor refused',
      value: answers.length - decided.length,
      atMost: 0,
    },
  ];
}

/** Operators submit conflicting configurations and moves through different routers at once. */
export const operatorsRace: FaultCase = {
  name: 'operators-race',
  guarantee: 'of conflicting changes, one takes full effect and the other operators are told',
  async run(context) {
    const configurations = await raceConfigurations(context);
    const moves = await raceMoves(context);
    await waitUntilServed(context.probe, monotonicMs());
    return [...configurations, ...moves];
  },
};
