import { type EventsAnswer, type QuarantineList, eventKindSchema } from '@boragepoint/config';
import { err } from 'neverthrow';
import * as v from 'valibot';

import { usageError } from '../cli-error.js';
import {
  type CommandOutcome,
  type RouterCommand,
  type RouterContext,
  textOption,
} from '../command.js';
import { mergeEvents } from '../merge-answers.js';
import { formatTable } from '../table.js';
import { formatTime, parseSince } from '../time-argument.js';

const DEFAULT_SINCE = '1h';

function formatEvents({ events, truncated }: EventsAnswer): string {
  const rows = events.map((it) => [
    formatTime(it.atMs),
    it.kind,
    it.router,
    it.service ?? null,
    it.server ?? null,
    it.shard ?? null,
    it.message,
  ]);
  const header = ['TIME', 'KIND', 'ROUTER', 'SERVICE', 'BACKEND SERVER', 'SHARD', 'MESSAGE'];
  const table = formatTable(header, rows);
  return truncated ? `(older events were dropped from the journal)\n${table}` : table;
}

/** `boragectl events`. @internal */
export const eventsCommand: RouterCommand = {
  usage: 'events',
  description: 'Show the actions of the given routers with their reasons, oldest first',
  options: [
    ['--since <time>', `A duration before now or an ISO 8601 time (default: ${DEFAULT_SINCE})`],
    ['--kind <kind>', `Only one kind: ${eventKindSchema.options.join(', ')}`],
  ],
  examples: ['events --since 10m', 'events --kind takeover --json'],
  needsRouter: true,
  async run({ client, output }, _args, options) {
    const since = parseSince(textOption(options, 'since') ?? DEFAULT_SINCE, Date.now());
    if (since.isErr()) return err(since.error);
    const kind = v.safeParse(v.optional(eventKindSchema), options.kind);
    if (!kind.success) {
      return err(usageError(`--kind must be one of ${eventKindSchema.options.join(', ')}`));
    }
    const filter = { sinceMs: since.value };
    const answer = await client.events(
      kind.output === undefined ? filter : { ...filter, kind: kind.output },
    );
    return answer.map(({ answers, failures }) => {
      const merged = mergeEvents(answers);
      output.result(merged, () => formatEvents(merged));
      for (const failure of failures) output.warn(`events are missing: ${failure}`);
    });
  },
};

function formatQuarantine({ entries }: QuarantineList): string {
  const rows = entries.map((it) => [
    it.service,
    it.fingerprint,
    formatTime(it.expiresAtMs),
    it.reason,
  ]);
  return formatTable(['SERVICE', 'FINGERPRINT', 'EXPIRES', 'REASON'], rows);
}

async function listEntries({ client, output }: RouterContext): CommandOutcome {
  const list = await client.listQuarantine();
  return list.map((it) => {
    output.result(it, () => formatQuarantine(it));
  });
}

async function releaseEntry(
  { client, output }: RouterContext,
  service: string,
  fingerprint: string,
): CommandOutcome {
  const released = await client.releaseQuarantine({ service, fingerprint });
  return released.map((it) => {
    output.result(it, () => `${fingerprint} of ${service} is released`);
  });
}

/** `boragectl quarantine list` and `boragectl quarantine release SERVICE FINGERPRINT`. @internal */
export const quarantineCommand: RouterCommand = {
  usage: 'quarantine <action> [service] [fingerprint]',
  description: 'List requests in quarantine because they crashed backend servers, or release one',
  examples: ['quarantine list', 'quarantine release caja 9f2c41d07a'],
  needsRouter: true,
  async run(context, [action, service, fingerprint]) {
    if (action === 'list' && service === undefined) return listEntries(context);
    if (action === 'release' && service !== undefined && fingerprint !== undefined) {
      return releaseEntry(context, service, fingerprint);
    }
    const message = "use 'quarantine list' or 'quarantine release SERVICE FINGERPRINT'";
    return err(usageError(message));
  },
};
