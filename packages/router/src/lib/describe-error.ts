/** Number of stack frames that a log line has. */
const MAX_FRAMES = 3;

/** Log fields that describe an error; anything can be thrown, also what has no text. */
export function errorFields(err: unknown): { reason: string; stack?: string | undefined } {
  if (!(err instanceof Error)) return { reason: typeof err === 'string' ? err : typeof err };
  const frames = err.stack?.split('\n').slice(1, MAX_FRAMES + 1);
  return { reason: String(err), stack: frames?.join(' ') };
}
