import type { Command } from './command.js';
import { applyCommand } from './commands/apply.js';
import { burnCommand } from './commands/burn.js';
import { diffCommand } from './commands/diff.js';
import { getCommand } from './commands/get.js';
import { eventsCommand, quarantineCommand } from './commands/journal.js';
import { explainCommand, moveCommand, ownerCommand, pinCommand } from './commands/ownership.js';
import { reportCommand } from './commands/report.js';
import { deposeCommand, drainCommand } from './commands/servers.js';
import { statusCommand } from './commands/status.js';
import { traceCommand } from './commands/trace.js';
import { validateCommand } from './commands/validate.js';
import { versionsCommand } from './commands/versions.js';

/** All commands of `boragectl`, in the order of its help. @internal */
export const commands: readonly Command[] = [
  validateCommand,
  diffCommand,
  getCommand,
  applyCommand,
  statusCommand,
  ownerCommand,
  drainCommand,
  moveCommand,
  pinCommand,
  deposeCommand,
  explainCommand,
  eventsCommand,
  quarantineCommand,
  reportCommand,
  traceCommand,
  burnCommand,
  versionsCommand,
];
