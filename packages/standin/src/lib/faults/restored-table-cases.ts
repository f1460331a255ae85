import { createHttpTableService, type TableRow } from '@boragepoint/platform';
import { Pool } from 'undici';

import { monotonicMs } from '../clock.js';
import { CATALOGUE } from '../demo/demo-plan.js';
import { createOperatorApi } from '../harness/operator-api.js';
import { drainServer } from '../harness/operator-tool.js';
import { waitUntil } from '../harness/wait-until.js';
import { keysServedBy, pick, type CaseContext, type FaultCase, type Figure } from './fault-case.js';
import { unservedFigures, waitUntilMoved, waitUntilServed } from './unserved-time.js';

/** Prefixes of the rows that routers share, and of the records of non-idempotent requests. */
const SHARED_PREFIXES = ['assign/', 'config/', 'keeper/'];
const RECORD_PREFIXES = ['intent/'];
/** Rows are checked each second, and are whole again at the check after the one that found them. */
const WHOLE_TIMEOUT_MS = 10_000;
/** Bound of the unserved time of keys whose owner is lost right after the table came back. */
const MAX_UNSERVED_AFTER_RETURN_MS = 5_000;

async function readRows({ fleet }: CaseContext, prefixes: readonly string[]): Promise<TableRow[]> {
  const pool = new Pool(`http://${fleet.platform.address}`);
  try {
    const table = createHttpTableService(pool);
    const scans = await Promise.all(prefixes.map((prefix) => table.scan(prefix)));
    return scans.flatMap((it) => it._unsafeUnwrap());
  } finally {
    await pool.destroy();
  }
}

/** Keys of rows that are below the version that they had. */
function rowsBelow(before: readonly TableRow[], after: readonly TableRow[]): string[] {
  const versions = new Map(after.map((row) => [row.key, row.version]));
  return before.flatMap(({ key, version }) => ((versions.get(key) ?? 0) < version ? [key] : []));
}

/** Keys of rows that are gone. */
function rowsGone(before: readonly TableRow[], after: readonly TableRow[]): string[] {
  const keys = new Set(after.map((row) => row.key));
  return before.flatMap(({ key }) => (keys.has(key) ? [] : [key]));
}

/** True for the record of a request that ran; one that did not run needs none. */
function isAnswer({ value }: TableRow): boolean {
  return value.includes('"state":"done"');
}

async function configVersions({ fleet }: CaseContext): Promise<number[]> {
  const apis = fleet.routers.map((it) => createOperatorApi(it.operators, fleet.token));
  const documents = await Promise.all(apis.map((api) => api.service(CATALOGUE.name)));
  return documents.map((it) => it.version);
}

/** Brings the table back from a copy that is older than a drain. */
async function forgetDrain(context: CaseContext, server: string) {
  const { fleet, probe } = context;
  await fleet.controlPlatform({ table: 'take-copy' });
  await drainServer(fleet, CATALOGUE.name, server);
  await waitUntilMoved(() =>
    keysServedBy(
      probe,
      fleet.backendServers.filter((it) => it.id === server),
    ),
  );
  const before = await readRows(context, SHARED_PREFIXES);
  const records = (await readRows(context, RECORD_PREFIXES)).filter(isAnswer);
  const [version = 0] = await configVersions(context);
  await fleet.controlPlatform({ table: 'restore' });
  const forgotten = rowsBelow(before, await readRows(context, SHARED_PREFIXES));
  const forgottenRecords = rowsGone(records, await readRows(context, RECORD_PREFIXES));
  return { before, records, version, forgotten, forgottenRecords };
}

/** Waits until no row is below its earlier version and no answer is gone; names them otherwise. */
async function waitUntilWhole(
  context: CaseContext,
  { before, records }: Awaited<ReturnType<typeof forgetDrain>>,
): Promise<void> {
  let missing: string[] = [];
  const isWhole = async () => {
    const below = rowsBelow(before, await readRows(context, SHARED_PREFIXES));
    const gone = rowsGone(records, await readRows(context, RECORD_PREFIXES));
    missing = [...below, ...gone];
    return missing.length === 0 ? true : undefined;
  };
  try {
    await waitUntil('the table is whole', isWhole, WHOLE_TIMEOUT_MS);
  } catch (cause) {
    throw new Error(`the table still lacks ${missing.join(', ')}`, { cause });
  }
}

/** The table comes back from a copy without a drain and its moves; then an owner is killed. */
export const tableRestored: FaultCase = {
  name: 'table-restored',
  guarantee: 'rows that live routers know are written back, and no rule is broken meanwhile',
  mayRefuse: true,
  async run(context): Promise<Figure[]> {
    const { fleet, probe, random } = context;
    const drained = pick(fleet.backendServers, random);
    const lost = await forgetDrain(context, drained.id);
    const restoredAt = monotonicMs();
    const owners = fleet.backendServers.filter((it) => keysServedBy(probe, [it]).length > 0);
    const owner = pick(owners, random);
    const keys = keysServedBy(probe, [owner]);
    const killedAt = await owner.kill();
    await waitUntilWhole(context, lost);
    const wholeMs = Math.round(monotonicMs() - restoredAt);
    await waitUntilMoved(() => keysServedBy(probe, [owner]));
    await waitUntilServed(probe, killedAt);
    const lowest = Math.min(...(await configVersions(context)));
    return [
      { name: 'rows forgotten', value: lost.forgotten.length, atLeast: 2 },
      { name: 'answers forgotten', value: lost.forgottenRecords.length, atLeast: 1 },
      { name: 'table whole after ms', value: wholeMs },
      {
        name: 'versions by which a configuration went back',
        value: lost.version - lowest,
        atMost: 0,
      },
      {
        name: 'keys at the drained server',
        value: keysServedBy(probe, [drained]).length,
        atMost: 0,
      },
      ...unservedFigures(probe, keys, killedAt, MAX_UNSERVED_AFTER_RETURN_MS),
    ];
  },
};
