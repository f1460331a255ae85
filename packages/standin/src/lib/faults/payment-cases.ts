import { writeFile } from 'node:fs/promises';
import path from 'node:path';

import { CATALOGUE, PAY } from '../demo/demo-plan.js';
import { sleep } from '../clock.js';
import { collectTrace } from '../harness/collect-trace.js';
import { runPaymentLoad, type PaymentTries } from './payment-load.js';
import { createRouterOutages, type RouterOutages } from './router-outages.js';
import type { FaultCase } from './fault-case.js';
import { paymentFigures } from './payment-figures.js';
import { PAYMENT_FAULTS, type FaultContext, type PaymentFault } from './payment-faults.js';

const PAYMENTS = 110;
const PER_SECOND = 8;
const RETRY_FOR_MS = 8_000;
/** Interval between the starts of two faults, which may overlap. */
const FAULT_INTERVAL_MS = 1_200;
const MAX_SEED = 1_000_000;

function shuffled({ random }: FaultContext): PaymentFault[] {
  const drawn = PAYMENT_FAULTS.map((fault) => ({ fault, at: random.next() }));
  return drawn.sort((a, b) => a.at - b.at).map((it) => it.fault);
}

async function injectFaults(ctx: FaultContext): Promise<void> {
  const open: Promise<void>[] = [];
  for (const fault of shuffled(ctx)) {
    const ending = fault(ctx);
    // Avoids an unhandled rejection; the failure is reported when all faults are awaited.
    ending.catch(() => undefined);
    open.push(ending);
    await sleep(FAULT_INTERVAL_MS);
  }
  await Promise.all(open);
}

/** Writes what callers received as JSON lines, one for each try, to analyse failures. */
async function writeTries(file: string, payments: PaymentTries[], outages: RouterOutages) {
  const lines = payments.flat().map(({ record, sentAt, patienceMs }) => {
    const absent = outages.covers(record.router, sentAt, record.at);
    return JSON.stringify({ ...record, sentAt, patienceMs, absent });
  });
  await writeFile(file, `${lines.join('\n')}\n`);
}

/** Callers retry payments while overlapping faults are injected into every part of the fleet. */
export const payments: FaultCase = {
  name: 'payments',
  guarantee: 'no payment runs twice, "not run" is true, and every caller is answered in time',
  fleet: { linked: true, routers: 4 },
  async run(context) {
    const { fleet, random } = context;
    const outages = createRouterOutages();
    const ctx: FaultContext = {
      ...context,
      outages,
      reserved: new Set(),
      knownRouters: [...fleet.routers],
    };
    const running = () => ctx.knownRouters.filter((it) => it.program.exit === undefined);
    const load = runPaymentLoad({
      seed: random.below(MAX_SEED),
      payments: PAYMENTS,
      perSecond: PER_SECOND,
      retryForMs: RETRY_FOR_MS,
      routers: () => running().map((it) => it.callers),
    });
    await injectFaults(ctx);
    const tries = await load;
    await writeTries(path.join(fleet.folder, 'payment-tries.jsonl'), tries, outages);
    const trace = await collectTrace(fleet, []);
    const deadlineMs = CATALOGUE.rules.find((it) => it.name === PAY.name)?.deadlineMs ?? 0;
    const runs = trace.filter((it) => it.kind === 'ran');
    return paymentFigures({ payments: tries, runs, outages, deadlineMs });
  },
};
