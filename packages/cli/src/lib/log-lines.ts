import { Result } from 'neverthrow';
import * as v from 'valibot';

const lineSchema = v.looseObject({
  time: v.pipe(v.string(), v.isoTimestamp()),
  level: v.string(),
  router: v.string(),
  message: v.string(),
});

/** One line of a router's log. */
export type LogLine = v.InferOutput<typeof lineSchema>;

/** Parses the JSON lines of a log, with or without a prefix, and skips all other lines. */
export function parseLogLines(text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{');
    if (start < 0) return [];
    const json = Result.fromThrowable(() => JSON.parse(line.slice(start)) as unknown)();
    if (json.isErr()) return [];
    const parsed = v.safeParse(lineSchema, json.value);
    return parsed.success ? [parsed.output] : [];
  });
}
