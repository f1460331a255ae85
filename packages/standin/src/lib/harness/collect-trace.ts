import { readFile } from 'node:fs/promises';

import { checkTrace, parseTrace, type TraceEvent } from '@boragepoint/spec';

import type { AttemptRecord } from '../load/load-plan.js';
import type { Fleet } from './fleet.js';

const DROPPED_EVENT_PREFIX = '{"kind":"dropped"';

function toAnsweredEvent({
  at,
  requestId,
  idempotencyKey,
  code,
  status,
}: AttemptRecord): TraceEvent {
  const event = { kind: 'answered', at, requestId, code, status } as const;
  return idempotencyKey === undefined ? event : { ...event, idempotencyKey };
}

async function readEvents(file: string): Promise<TraceEvent[]> {
  const text = await readFile(file, 'utf8');
  const lines = text.split('\n').filter((line) => !line.startsWith(DROPPED_EVENT_PREFIX));
  const events = parseTrace(lines.join('\n'));
  if (events.isErr()) throw events.error;
  return events.value;
}

/** Merges the event logs of a fleet's backend servers with their stops and the callers' answers. */
export async function collectTrace(
  fleet: Fleet,
  attempts: readonly AttemptRecord[],
): Promise<TraceEvent[]> {
  const logs = await Promise.all(fleet.backendServers.map((it) => readEvents(it.logFile)));
  const stops = fleet.backendServers.flatMap((it) => it.stops);
  const answered = attempts
    .filter((it) => it.requestId !== '' && it.code >= 0)
    .map(toAnsweredEvent);
  return [...logs.flat(), ...stops, ...answered];
}

/** Checks a trace and returns one message for each violation. */
export function violationsOf(trace: readonly TraceEvent[]): string[] {
  return checkTrace(trace).map((it) => `${it.rule}: ${it.message}`);
}

/** Formats a trace as JSON lines, sorted by time. */
export function formatTrace(trace: readonly TraceEvent[]): string {
  const inOrder = trace.toSorted((a, b) => a.at - b.at);
  return inOrder.map((it) => `${JSON.stringify(it)}\n`).join('');
}
