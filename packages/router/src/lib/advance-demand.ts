/**
 * Longest time from a call for permits in advance until they lapse, in milliseconds; it shortens the
 * life of permits whose reply came late.
 */
export const ADVANCE_TTL_AFTER_CALL_MS = 700;
/** Longest time from the reply until they lapse, in milliseconds. */
export const ADVANCE_TTL_MS = 500;
/** Average time between two calls for permits of one group, in milliseconds. */
const ASK_INTERVAL_MS = 250;
/** Demand halves in this time, in milliseconds. */
const DEMAND_HALF_LIFE_MS = 500;
/** Maximum numbers of permits and of servers in one call for a group; they bound its bytes. */
const MAX_PERMITS = 8;
const MAX_SERVERS = 8;
/** Time without requests after which a group is forgotten, in milliseconds. */
const UNUSED_TTL_MS = 10_000;

/** Requests that may go to any of the same servers and could use permits soon. */
export interface AdvanceGroup<Server> {
  /** Name that tells the group from others, such as that of a service. */
  readonly name: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The servers that could take the last request of the group, the preferred one first. */
  readonly servers: readonly Server[];
}

/** Permits to ask for in advance. */
export interface AdvanceAsk<Server> {
  readonly priority: number;
  readonly servers: readonly Server[];
  readonly count: number;
}

/** Demand for permits of requests that don't wait for one. */
export interface AdvanceDemand<Server> {
  /** Records a request that could have used a permit. */
  note(group: AdvanceGroup<Server>): void;
  /** Returns whether there are permits to ask for. */
  isDue(): boolean;
  /** Returns what to ask for now; the same demand is not returned again for a while. */
  take(): readonly AdvanceAsk<Server>[];
}

interface GroupDemand<Server> {
  readonly group: AdvanceGroup<Server>;
  /** Requests, exponentially decaying, at a time in milliseconds. */
  readonly amount: number;
  readonly at: number;
  /** Before this time nothing is asked for, in milliseconds. */
  readonly nextAskAt: number;
  /** True if a request has come since the last call. */
  readonly isWanted: boolean;
}

/** Options of {@link createAdvanceDemand}. */
export interface AdvanceDemandOptions<Server> {
  /** Returns whether the leader may be asked for a permit for a server now. */
  isOpen(server: Server, priority: number): boolean;
  /** Monotonic time in milliseconds. */
  readonly now: () => number;
  /** Uniform in [0, 1). */
  readonly random: () => number;
}

/** Creates a record without demand. */
export function createAdvanceDemand<Server>(
  options: AdvanceDemandOptions<Server>,
): AdvanceDemand<Server> {
  const { now, random } = options;
  const groups = new Map<string, GroupDemand<Server>>();

  const decayed = ({ amount, at }: GroupDemand<Server>) =>
    amount * 0.5 ** ((now() - at) / DEMAND_HALF_LIFE_MS);

  /** Requests that are expected until a permit which is given now lapses. */
  const expectedRequests = (demand: GroupDemand<Server>) =>
    (decayed(demand) * Math.LN2 * ADVANCE_TTL_MS) / DEMAND_HALF_LIFE_MS;

  const isDue = ({ isWanted, nextAskAt }: GroupDemand<Server>) => isWanted && now() >= nextAskAt;

  function askOf(demand: GroupDemand<Server>): readonly AdvanceAsk<Server>[] {
    const { priority, servers } = demand.group;
    const open = servers.filter((it) => options.isOpen(it, priority)).slice(0, MAX_SERVERS);
    if (open.length === 0) return [];
    const count = Math.min(MAX_PERMITS, Math.max(1, Math.round(expectedRequests(demand))));
    return [{ priority, servers: open, count }];
  }

  return {
    note(group) {
      const key = `${group.priority} ${group.name}`;
      const before = groups.get(key);
      groups.set(key, {
        group,
        amount: (before ? decayed(before) : 0) + 1,
        at: now(),
        nextAskAt: before?.nextAskAt ?? -Infinity,
        isWanted: true,
      });
    },
    isDue: () => [...groups.values()].some(isDue),
    take() {
      return [...groups].flatMap(([key, demand]) => {
        if (demand.at < now() - UNUSED_TTL_MS) {
          groups.delete(key);
          return [];
        }
        if (!isDue(demand)) return [];
        // Routers whose demand begins at the same time would go on to ask at the same time.
        const nextAskAt = now() + ASK_INTERVAL_MS * (0.5 + random());
        groups.set(key, { ...demand, nextAskAt, isWanted: false });
        return askOf(demand);
      });
    },
  };
}
