import { type Result, err, ok } from 'neverthrow';

import { type CliError, usageError } from './cli-error.js';

const SECOND_MS = 1_000;
const UNIT_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: SECOND_MS,
  m: 60 * SECOND_MS,
  h: 3_600 * SECOND_MS,
  d: 86_400 * SECOND_MS,
};
const DURATION = /^(\d{1,9})(ms|s|m|h|d)$/;

/** Parses a duration such as `500ms`, `10s`, `5m`, `2h` or `7d` to milliseconds. @internal */
export function parseDuration(optionName: string, text: string): Result<number, CliError> {
  const [, count, unit] = DURATION.exec(text) ?? [];
  const unitMs = unit === undefined ? undefined : UNIT_MS[unit];
  if (count === undefined || unitMs === undefined) {
    return err(usageError(`${optionName} must be a duration such as 500ms, 10s, 5m, 2h or 7d`));
  }
  return ok(Number(count) * unitMs);
}

/** Parses a duration before now or an ISO 8601 time to milliseconds since 1970. @internal */
export function parseSince(text: string, nowMs: number): Result<number, CliError> {
  const duration = parseDuration('--since', text);
  if (duration.isOk()) return ok(Math.max(0, nowMs - duration.value));
  const timeMs = /^\d{4}-/.test(text) ? Date.parse(text) : NaN;
  if (Number.isNaN(timeMs)) {
    return err(
      usageError('--since must be a duration such as 10m or a time such as 2030-01-31T12:00Z'),
    );
  }
  return ok(Math.max(0, timeMs));
}

/** Renders a duration in the largest unit that divides it evenly. @internal */
export function formatDuration(durationMs: number): string {
  const units = Object.entries(UNIT_MS).reverse();
  const [unit, unitMs] = units.find(([, it]) => durationMs >= it && durationMs % it === 0) ?? [
    'ms',
    1,
  ];
  return `${durationMs / unitMs}${unit}`;
}

/** Renders a time in ISO 8601; an invalid time becomes a hyphen. @internal */
export function formatTime(timeMs: number): string {
  const date = new Date(timeMs);
  return Number.isNaN(date.getTime()) ? '-' : date.toISOString();
}
