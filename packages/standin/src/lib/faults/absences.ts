/** Time for which a router could not answer, in monotonic milliseconds. */
export interface Absence {
  readonly router: string;
  readonly from: number;
  to: number;
  /** True when requests that it had taken before are still answered. */
  readonly finishes: boolean;
}

/** Times at which routers could not answer because a case stopped them. */
export interface Absences {
  /** Begins an absence without an end. */
  begin(router: string, from: number, finishes?: boolean): Absence;
  /** Says whether a router was absent in a span in which it had to take and answer a request. */
  covers(router: string, sentAt: number, endedAt: number): boolean;
}

/** Creates an empty list of absences. */
export function createAbsences(): Absences {
  const absences: Absence[] = [];
  return {
    begin(router, from, finishes = false) {
      const absence = { router, from, to: Infinity, finishes };
      absences.push(absence);
      return absence;
    },
    covers: (router, sentAt, endedAt) =>
      absences.some((it) => {
        if (it.router !== router || sentAt > it.to) return false;
        return it.finishes ? sentAt >= it.from : endedAt >= it.from;
      }),
  };
}
