/** A period in which a router could not answer, in monotonic milliseconds. */
export interface RouterOutage {
  readonly router: string;
  readonly from: number;
  to: number;
  /** True when requests that it accepted before the outage are still answered. */
  readonly finishesInFlight: boolean;
}

/** Periods in which routers could not answer because a fault case stopped them. */
export interface RouterOutages {
  /** Records an outage without an end; the caller sets `to` when it ends. */
  begin(router: string, from: number, finishesInFlight?: boolean): RouterOutage;
  /** Returns whether an outage affected a request that was sent and ended at these times. */
  covers(router: string, sentAt: number, endedAt: number): boolean;
}

/** Creates an empty list of outages. */
export function createRouterOutages(): RouterOutages {
  const outages: RouterOutage[] = [];
  return {
    begin(router, from, finishesInFlight = false) {
      const outage = { router, from, to: Infinity, finishesInFlight };
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
