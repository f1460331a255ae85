#!/usr/bin/env node
/** Serves a platform in memory: table service, object store and instance list. */
import { cac } from 'cac';

import { listen } from '../lib/listen.js';
import { createPlatformApp } from '../lib/platform/app.js';

interface Options {
  readonly port: number;
}

const cli = cac('standin-platform');
cli
  .command('', 'Serve a platform in memory on the loopback address')
  .option('--port <port>', 'TCP port; 0 takes a free one', { default: 0 })
  .action(async ({ port }: Options) => {
    const listener = await listen(createPlatformApp(), port);
    console.log(JSON.stringify({ listening: listener.address }));
    process.once('SIGTERM', () => void listener[Symbol.asyncDispose]());
  });
cli.help();
cli.parse();
