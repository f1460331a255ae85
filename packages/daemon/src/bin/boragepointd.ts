#!/usr/bin/env node
import { readFile } from 'node:fs/promises';

import { loadSettings } from '@boragepoint/config';
import { cac } from 'cac';

import { createDaemon } from '../lib/daemon.js';
import { createLog } from '../lib/log.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

async function readOrExit(file: string, description: string): Promise<string> {
  try {
    return await readFile(file, 'utf8');
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    process.stderr.write(`boragepointd: the ${description} can't be read: ${reason}\n`);
    process.exit(EXIT_USAGE);
  }
}

async function start(settingsFile: string): Promise<void> {
  const settings = loadSettings(await readOrExit(settingsFile, 'settings file'));
  if (settings.isErr()) {
    process.stderr.write(
      `boragepointd: ${settingsFile} can't be used\n${settings.error.message}\n`,
    );
    process.exit(EXIT_USAGE);
  }
  const cfg = settings.value;
  const token = (await readOrExit(cfg.operators.tokenFile, "operators' token file")).trim();
  const log = createLog(cfg.log.level, cfg.instance.id);
  const daemon = await createDaemon(cfg, token, log);
  let stopping = false;

  async function stop(signal: NodeJS.Signals): Promise<void> {
    if (stopping) process.exit(EXIT_FAILED);
    stopping = true;
    log.info('shutting down', { signal });
    await daemon.shutDown();
    log.info('stopped');
    process.exit(0);
  }
  process.on('SIGTERM', (signal) => void stop(signal));
  process.on('SIGINT', (signal) => void stop(signal));
}

const cli = cac('boragepointd');
cli.option('--settings <file>', 'TOML file with the settings of this instance');
cli.help();
const { options } = cli.parse() as { options: { settings?: unknown; help?: boolean } };

if (options.help !== true) {
  if (typeof options.settings !== 'string') {
    process.stderr.write('boragepointd: --settings FILE is missing\n');
    process.exit(EXIT_USAGE);
  }
  start(options.settings).catch((cause: unknown) => {
    const reason = cause instanceof Error ? cause.message : String(cause);
    process.stderr.write(`boragepointd: can't start: ${reason}\n`);
    process.exit(EXIT_FAILED);
  });
}
