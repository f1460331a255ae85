import {
  type ExplainAnswer,
  type MoveRequest,
  type OwnerAnswer,
  moveRequestSchema,
} from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';
import * as v from 'valibot';

import { type CliError, usageError } from '../cli-error.js';
import type { RouterCommand } from '../command.js';
import { mergeHistories } from '../merge-answers.js';
import { formatFields, formatTable } from '../table.js';
import { formatTime } from '../time-argument.js';

function formatOwner(it: OwnerAnswer): string {
  return formatFields([
    ['service', it.service],
    ['key', it.key],
    ['shard', it.shard],
    ['pinned', it.pinned],
    ['owner', it.owner],
    ['epoch', it.epoch],
    ['successor', it.successor],
    ['keeper', it.keeper],
    ['standby', it.standby],
    ['held by', it.heldBy],
  ]);
}

/** `boragectl owner SERVICE KEY`. @internal */
export const ownerCommand: RouterCommand = {
  usage: 'owner <service> <key>',
  description: "Show which backend server owns a key, and the keeper of that server's lease",
  examples: ['owner caja member-17', 'owner caja member-17 --json'],
  needsRouter: true,
  async run({ client, output }, [service = '', key = '']) {
    const owner = await client.owner({ service, key });
    return owner.map((it) => {
      output.result(it, () => formatOwner(it));
    });
  },
};

function formatHistory(it: ExplainAnswer): string {
  const rows = it.history.map((change) => [
    formatTime(change.atMs),
    change.epoch,
    change.owner,
    change.router,
    change.reason,
  ]);
  const table = formatTable(['TIME', 'EPOCH', 'OWNER', 'ROUTER', 'REASON'], rows);
  const head = `key ${it.key} of ${it.service} is in shard ${it.shard}`;
  const tail = it.truncated ? '\n(older changes were dropped from the journal)' : '';
  return `${head}\n${table}${tail}`;
}

/** `boragectl explain SERVICE KEY`. @internal */
export const explainCommand: RouterCommand = {
  usage: 'explain <service> <key>',
  description: "Show the history of a key's owners, newest first, with the reason for each change",
  examples: ['explain caja member-17'],
  needsRouter: true,
  async run({ client, output }, [service = '', key = '']) {
    const answer = await client.explain({ service, key });
    return answer.map(({ answers, failures }) => {
      const merged = mergeHistories(answers);
      output.result(merged, () => formatHistory(merged));
      for (const failure of failures) output.warn(`changes may be missing: ${failure}`);
    });
  },
};

const SHARD_TARGET = /^shard:(\d{1,5})$/;
const KEY_TARGET = /^key:(.+)$/s;

function parseMove(service: string, target: string, to: string): Result<MoveRequest, CliError> {
  const shard = SHARD_TARGET.exec(target)?.[1];
  const key = KEY_TARGET.exec(target)?.[1];
  const shardOrKey = shard === undefined ? { key } : { shard: Number(shard) };
  const parsed = v.safeParse(moveRequestSchema, { service, to, ...shardOrKey });
  if (parsed.success) return ok(parsed.output);
  return err(usageError("use 'move SERVICE shard:NUMBER SERVER' or 'move SERVICE key:KEY SERVER'"));
}

/** `boragectl move SERVICE TARGET SERVER`. @internal */
export const moveCommand: RouterCommand = {
  usage: 'move <service> <target> <server>',
  description: 'Move a shard, given as shard:NUMBER or key:KEY, to a backend server',
  examples: ['move caja shard:7 caja-3', 'move caja key:member-17 caja-3'],
  needsRouter: true,
  async run({ client, output }, [service = '', target = '', to = '']) {
    const req = parseMove(service, target, to);
    if (req.isErr()) return err(req.error);
    const moved = await client.move(req.value);
    return moved.map((it) => {
      output.result(it, () => `shard ${it.shard} is owned by ${it.owner} under epoch ${it.epoch}`);
    });
  },
};

/** `boragectl pin SERVICE KEY`. @internal */
export const pinCommand: RouterCommand = {
  usage: 'pin <service> <key>',
  description: 'Assign a hot key to its own owner, separately from its shard',
  options: [['--remove', 'Return the key to the shard that it hashes to']],
  examples: ['pin vitrina section-4', 'pin vitrina section-4 --remove'],
  needsRouter: true,
  async run({ client, output }, [service = '', key = ''], options) {
    const pinned = options.remove !== true;
    const written = await client.pin({ service, key, pinned });
    return written.map((it) => {
      const state = pinned ? 'is pinned' : 'is no longer pinned';
      output.result(it, () => `key ${key} ${state} from version ${it.version} of ${service}`);
    });
  },
};
