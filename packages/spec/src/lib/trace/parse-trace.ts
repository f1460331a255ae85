import { Result, err, ok } from 'neverthrow';
import * as v from 'valibot';

import { type TraceEvent, traceEventSchema } from './trace-event.js';

/** A trace has a line that is not JSON or not a trace event. */
export class TraceError extends Error {
  override readonly name = 'TraceError';
}

function parseLine(line: string, number: number): Result<TraceEvent, TraceError> {
  const json = Result.fromThrowable(
    () => JSON.parse(line) as unknown,
    (cause) => new TraceError(`line ${number} is not JSON`, { cause }),
  )();
  return json.andThen((value) => {
    const parsed = v.safeParse(traceEventSchema, value);
    if (parsed.success) return ok(parsed.output);
    return err(new TraceError(`line ${number}: ${v.summarize(parsed.issues)}`));
  });
}

/** Parses the JSON lines of a trace; blank lines are skipped. */
export function parseTrace(text: string): Result<TraceEvent[], TraceError> {
  const lines = text.split('\n').map((line, index) => ({ line, number: index + 1 }));
  const filled = lines.filter((it) => it.line.trim() !== '');
  return Result.combine(filled.map((it) => parseLine(it.line, it.number)));
}
