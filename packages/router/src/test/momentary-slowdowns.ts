/** Length of a slowdown, in milliseconds; one comes after four times as long on average. */
const SLOWDOWN_MS = 300;
/** Factor by which work takes longer meanwhile. */
const SLOWDOWN = 3;

/** Draws the starts of a server's slowdowns, in milliseconds. */
export function slowdownStarts(seconds: number, draw: () => number): number[] {
  const starts: number[] = [];
  let at = draw() * SLOWDOWN_MS * 5;
  while (at < seconds * 1_000) {
    starts.push(at);
    at += SLOWDOWN_MS - Math.log(1 - draw()) * SLOWDOWN_MS * 4;
  }
  return starts;
}

/** Returns the factor by which work takes longer at a time. */
export const slowdownAt = (starts: readonly number[], at: number) =>
  starts.some((it) => it <= at && at < it + SLOWDOWN_MS) ? SLOWDOWN : 1;

/** Returns when work that takes `workMs` at the usual speed ends. */
export function endOfWork(starts: readonly number[], startAt: number, workMs: number): number {
  let [at, left] = [startAt, workMs];
  for (const slowAt of starts) {
    if (slowAt + SLOWDOWN_MS <= at) continue;
    const usualMs = Math.max(0, slowAt - at);
    if (usualMs >= left) break;
    left -= usualMs;
    at += usualMs;
    const slowMs = Math.min(slowAt + SLOWDOWN_MS - at, left * SLOWDOWN);
    left -= slowMs / SLOWDOWN;
    at += slowMs;
  }
  return at + left;
}
