import type { OrderOutcome, OrderTarget, RangeOrder } from '@boragepoint/platform';

/** Time in which another router has to say whether it reaches a server, in milliseconds. */
const QUESTION_TIMEOUT_MS = 500;
/** Time after a question in which it is not asked again, in milliseconds. */
const QUESTION_PAUSE_MS = 300;
/** Longest such time: it doubles while no router reaches the address. In milliseconds. */
const MAX_QUESTION_PAUSE_MS = 1_200;
/** Maximum number of other routers that are asked; more are picked at random. */
const MAX_ASKED = 32;

/** What another router is asked to do at a server. */
export interface ReachRequest {
  readonly target: OrderTarget;
  /** The keys to release; without them, the router only connects. */
  readonly release?: RangeOrder | undefined;
  readonly timeoutMs: number;
}

/**
 * Reaches backend servers over other routers, where this router's own connections are refused. A
 * server that no router reaches may have ended, or all paths to it are cut.
 */
export interface ServerReach {
  /**
   * Asks the other routers whether anything listens at a server's address. Resolves to true if all
   * of them were refused; to false if any of them reached it or did not answer, or if there is none.
   */
  isRefusedToAll(target: OrderTarget): Promise<boolean>;
  /** Sends a release over a router that reached the server when it was last asked. */
  release(target: OrderTarget, order: RangeOrder, timeoutMs: number): Promise<OrderOutcome>;
}

/** Options of {@link createServerReach}. */
export interface ServerReachOptions {
  /** Addresses of the other routers that may reach servers. */
  others(): readonly string[];
  /**
   * Asks another router; resolves to `unanswered` if it does not answer. Without keys to release,
   * `done` says that something listens at the address.
   */
  ask(router: string, req: ReachRequest): Promise<OrderOutcome>;
  /** Monotonic time in milliseconds. */
  now(): number;
  random?(): number;
}

/** A question about one address, and what came of it. */
interface Question {
  readonly from: number;
  /** Time after which it may be asked again, in milliseconds. */
  readonly pauseMs: number;
  readonly isClosed: Promise<boolean>;
  /** Routers that reached the server. */
  readonly reachedBy: string[];
}

/** Creates the reach of one leader. */
export function createServerReach(options: ServerReachOptions): ServerReach {
  const now = () => options.now();
  const random = () => options.random?.() ?? Math.random();
  const questions = new Map<string, Question>();

  function pickOthers(): readonly string[] {
    const others = [...options.others()];
    if (others.length <= MAX_ASKED) return others;
    const ranked = others.map((address) => ({ address, rank: random() }));
    ranked.sort((a, b) => a.rank - b.rank);
    return ranked.slice(0, MAX_ASKED).map((it) => it.address);
  }

  function begin(target: OrderTarget, pauseMs: number): Question {
    const reachedBy: string[] = [];
    const others = pickOthers();
    const answers = others.map(async (router) => {
      const { kind } = await options.ask(router, { target, timeoutMs: QUESTION_TIMEOUT_MS });
      if (kind === 'done') reachedBy.push(router);
      return kind === 'closed';
    });
    const isClosed = Promise.all(answers).then((all) => all.length > 0 && all.every(Boolean));
    return { from: now(), pauseMs, isClosed, reachedBy };
  }

  function forgetOld(): void {
    const oldest = now() - QUESTION_TIMEOUT_MS - MAX_QUESTION_PAUSE_MS;
    for (const [address, { from }] of questions) if (from < oldest) questions.delete(address);
  }

  /** Returns the present question about an address; one that was just asked stands for a while. */
  function questionFor(target: OrderTarget): Question {
    forgetOld();
    const known = questions.get(target.address);
    if (known && now() < known.from + known.pauseMs) return known;
    const isRepeated = known?.reachedBy.length === 0;
    const pauseMs = isRepeated ? 2 * known.pauseMs : QUESTION_PAUSE_MS;
    const question = begin(target, Math.min(MAX_QUESTION_PAUSE_MS, pauseMs));
    questions.set(target.address, question);
    return question;
  }

  return {
    isRefusedToAll: (target) => questionFor(target).isClosed,
    async release(target, order, timeoutMs) {
      const question = questionFor(target);
      await question.isClosed;
      const [router] = question.reachedBy;
      if (router === undefined) return { kind: 'unreachable' };
      return options.ask(router, { target, release: order, timeoutMs });
    },
  };
}
