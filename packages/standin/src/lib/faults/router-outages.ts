/** Time for which a router could not answer, in monotonic milliseconds. */
export interface RouterOutage {
  readonly router: string;
  readonly from: number;
  to: number;
  /** True when requests that it had taken before are still answered. */
  readonly finishesInFlight: boolean;
}

/** Times at which routers could not answer because a case stopped them. */
export interface RouterOutages {
  /** Begins an absence without an end. */
  begin(router: string, from: number, finishesInFlight?: boolean): RouterOutage;
  /** Says whether a router was absent in a span in which it had to take and answer a request. */
  covers(router: string, sentAt: number, endedAt: number): boolean;
}

/** Creates an empty list of absences. */
export function createRouterOutages(): RouterOutages {
  const outages: RouterOutage[] = [];
  return {
    begin(router, from, finishesInFlight = false) {
      const outage = { router, from, to: Infinity, finishesInFlight: finishesInFlight };
      outages.push(outage);
      return outage;
    },
    covers: (router, sentAt, endedAt) =>
      outages.some((it) => {
        if (it.router !== router || sentAt > it.to) return false;
        return it.finishesInFlight ? sentAt >= it.from : endedAt >= it.from;
      }),
  };
}
