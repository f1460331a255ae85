import { Agent } from 'undici';
import { v7 as timeOrderedUuid } from 'uuid';

import { KEY_NAMES } from '../demo/demo-plan.js';
import { monotonicMs, sleep } from '../clock.js';
import { createRandom, type Random } from '../random.js';
import { pick } from './fault-case.js';
import {
  sendTry,
  reportedOutcomeOf,
  type Payment,
  type PaymentTry,
  type TryPlan,
} from './payment-try.js';

/** Numbers of payments stand apart from those of loads and probes. */
const FIRST_PAYMENT_NUMBER = 2_000_000;
const MAX_SEED = 2 ** 31;
const MAX_WORK_MS = 150;
const SECOND_MS = 1_000;
/** Waits longer than any deadline, so that a late answer is seen. */
const LONG_TIMEOUT_MS = 6_000;
/** Times after which some callers hang up, in milliseconds. */
const SHORT_TIMEOUTS_MS = [150, 500, 1_500] as const;
const SHORT_TIMEOUT_SHARE = 0.3;
/** Share of tries that are sent through two routers at once. */
const PARALLEL_TRY_SHARE = 0.2;
const MAX_PAUSE_MS = 400;
/** A caller stops when it has had this many answers that leave the outcome unknown. */
const MAX_UNKNOWN_ANSWERS = 4;

/** What payments are sent. */
export interface PaymentLoadPlan {
  readonly seed: number;
  readonly payments: number;
  readonly perSecond: number;
  /** Time for which a caller repeats its payment, in milliseconds. */
  readonly retryForMs: number;
  /** Addresses of the routers that callers know now. */
  readonly routers: () => readonly string[];
}

/** Tries of one caller, in the order in which they were sent. */
export type PaymentTries = readonly PaymentTry[];

function createPayment(index: number, random: Random): Payment {
  return {
    number: FIRST_PAYMENT_NUMBER + index,
    key: pick(KEY_NAMES, random),
    idempotencyKey: timeOrderedUuid(),
    workMs: 1 + random.below(MAX_WORK_MS),
  };
}

/** Sends payments at a fixed rate; each is repeated by its caller until it has its answer, and once more. */
export async function runPaymentLoad(plan: PaymentLoadPlan): Promise<PaymentTries[]> {
  const agent = new Agent();
  const loadRandom = createRandom(plan.seed);

  function planTry(random: Random, isRepeat: boolean): TryPlan {
    const hasShortTimeout = random.next() < SHORT_TIMEOUT_SHARE;
    const patienceMs = hasShortTimeout ? pick(SHORT_TIMEOUTS_MS, random) : LONG_TIMEOUT_MS;
    return { router: pick(plan.routers(), random), patienceMs, isRepeat };
  }

  async function sendRound(payment: Payment, random: Random, isRepeat: boolean) {
    const first = planTry(random, isRepeat);
    const plans = random.next() < PARALLEL_TRY_SHARE ? [first, planTry(random, true)] : [first];
    return await Promise.all(plans.map((it) => sendTry(agent, payment, it)));
  }

  /** Each payment has its own choices, so that they do not depend on when answers come. */
  async function sendPayment(payment: Payment, random: Random): Promise<PaymentTries> {
    const endAt = monotonicMs() + plan.retryForMs;
    const tries: PaymentTry[] = [];
    while (tries.length === 0 || (mustRetry(tries) && monotonicMs() < endAt)) {
      tries.push(...(await sendRound(payment, random, tries.length > 0)));
      await sleep(random.below(MAX_PAUSE_MS));
    }
    tries.push(...(await sendRound(payment, random, true)));
    return tries;
  }

  const sending: Promise<PaymentTries>[] = [];
  for (let index = 0; index < plan.payments; index += 1) {
    const payment = createPayment(index, loadRandom);
    sending.push(sendPayment(payment, createRandom(loadRandom.below(MAX_SEED))));
    await sleep(SECOND_MS / plan.perSecond);
  }
  const all = await Promise.all(sending);
  await agent.close();
  return all;
}

function mustRetry(tries: PaymentTries): boolean {
  const told = tries.map(reportedOutcomeOf);
  if (told.includes('ok') || told.includes('bad-request')) return false;
  return told.filter((it) => it === 'unknown').length < MAX_UNKNOWN_ANSWERS;
}
