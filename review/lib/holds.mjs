/** Checks the rule OWNER on what backends saw: who held which keys when. */

/** Overlaps of up to this length count only if both backends began requests, in milliseconds. */
const MAX_OVERLAP_MS = 500;

/** Creates a ledger of the keys that backends hold. */
export function createHolds() {
  /** Spans that a life of a backend held, with times. */
  const holds = [];
  const runs = [];

  function end(backend, from, to, at) {
    const life = `${backend.id}/${backend.life}`;
    for (const it of holds) {
      if (it.life !== life || it.to < from || it.from > to || it.until <= at) continue;
      // The parts outside the span stay held.
      if (it.from < from) holds.push({ ...it, to: from - 1 });
      if (it.to > to) holds.push({ ...it, from: to + 1 });
      Object.assign(it, { from: Math.max(it.from, from), to: Math.min(it.to, to), until: at });
    }
  }

  return {
    onGrant({ backend, from, to, fence, at, until }) {
      // A renewal goes on from the hold before.
      end(backend, from, to, at);
      holds.push({
        server: backend.id,
        life: `${backend.id}/${backend.life}`,
        from,
        to,
        fence,
        at,
        until,
      });
    },
    onRelease: ({ backend, from, to, at }) => end(backend, from, to, at),
    onCrash: (backend, at) => end(backend, 0, 65_535, at),
    onRun({ backend, key, at }) {
      runs.push({ life: `${backend.id}/${backend.life}`, key, at });
    },
    /** Spans that two backends held at the same time, joined over renewals. */
    overlaps() {
      const found = new Map();
      for (const a of holds) {
        for (const b of holds) {
          if (a.life >= b.life || a.server === b.server) continue;
          const from = Math.max(a.from, b.from);
          const to = Math.min(a.to, b.to);
          const at = Math.max(a.at, b.at);
          const until = Math.min(a.until, b.until);
          if (from > to || at >= until) continue;
          const name = `${a.life} ${b.life} ${from}`;
          const known = found.get(name);
          const joined = {
            lives: [a.life, b.life],
            fences: [a.fence, b.fence],
            from,
            to,
            at: Math.min(at, known?.at ?? at),
            until: Math.max(until, known?.until ?? until),
          };
          found.set(name, joined);
        }
      }
      return [...found.values()].map((it) => {
        const began = it.lives.map((life) =>
          runs.some(
            (run) =>
              run.life === life &&
              run.key >= it.from &&
              run.key <= it.to &&
              run.at >= it.at &&
              run.at < it.until,
          ),
        );
        const bothRan = began.every(Boolean);
        return { ...it, bothRan, isBroken: bothRan || it.until - it.at > MAX_OVERLAP_MS };
      });
    },
  };
}
