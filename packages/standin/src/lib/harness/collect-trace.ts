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

/** Reads what all backend servers of a fleet did, and adds what their callers were told. */
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

/** Returns every broken rule of a run, one message each. */
export function violationsOf(trace: readonly TraceEvent[]): string[] {
  return checkTrace(trace).map((it) => `${it.rule}: ${it.message}`);
}

/** Renders a trace as JSON lines in the order of time. */
export function formatTrace(trace: readonly TraceEvent[]): string {
  const inOrder = trace.toSorted((a, b) => a.at - b.at);
  return inOrder.map((it) => `${JSON.stringify(it)}\n`).join('');
}
