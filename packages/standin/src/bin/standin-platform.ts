#!/usr/bin/env node
/** Runs an in-memory stand-in platform: table service, object store and instance list. */
import { cac } from 'cac';

import { listen } from '../lib/listen.js';
import { createPlatformApp } from '../lib/platform/app.js';

interface Options {
  readonly port: number;
}

const cli = cac('standin-platform');
cli
  .command('', 'Run an in-memory stand-in platform on the loopback address')
  .option('--port <port>', 'TCP port; 0 selects a free one', { default: 0 })
  .action(async ({ port }: Options) => {
    const listener = await listen(createPlatformApp(), port);
    console.log(JSON.stringify({ listening: listener.address }));
    process.once('SIGTERM', () => void listener[Symbol.asyncDispose]());
  });
cli.help();
cli.parse();
