#!/usr/bin/env node
/** Runs a stand-in backend server that holds shards under leases and serves their requests. */
import { cac } from 'cac';

import { createBackendApps } from '../lib/backend/app.js';
import { listen, type Listener } from '../lib/listen.js';

const SECOND_MS = 1_000;

interface Options {
  readonly id: string;
  readonly port: number;
  readonly log?: string;
  readonly checks: boolean;
  readonly slots: number;
  readonly connections: number;
  readonly maxWaiting: number;
  readonly serviceMs: number;
  readonly coldSeconds: number;
  readonly coldFactor: number;
}

async function serve(options: Options): Promise<void> {
  let service: Listener | undefined = undefined;
  let openConnections = 0;
  const apps = createBackendApps(
    {
      ...options,
      server: options.id,
      log: options.log,
      coldMs: options.coldSeconds * SECOND_MS,
    },
    () => openConnections,
  );
  service = await listen(apps.service, options.port);
  service.server.maxConnections = options.connections;
  service.server.on('connection', (socket) => {
    openConnections += 1;
    socket.once('close', () => (openConnections -= 1));
  });
  const control = await listen(apps.control, 0);
  console.log(JSON.stringify({ listening: service.address, control: control.address }));
  process.once('SIGTERM', () => process.exit(0));
}

const cli = cac('standin-backend');
cli
  .command('', 'Run a stand-in backend server on the loopback address')
  .option('--id <name>', 'Id of the backend server', { default: 'backend' })
  .option('--port <port>', 'TCP port; 0 selects a free one', { default: 0 })
  .option('--log <file>', 'File to which events are appended as JSON lines')
  .option('--no-checks', 'Run requests without checking their epoch and lease')
  .option('--slots <count>', 'Number of requests that run concurrently', { default: 2 })
  .option('--connections <count>', 'Maximum number of open connections', { default: 130 })
  .option('--max-waiting <count>', 'Maximum number of waiting requests', { default: 256 })
  .option('--service-ms <ms>', 'Processing time of a request', { default: 1 })
  .option('--cold-seconds <s>', 'Duration of the cold start, with slower processing', {
    default: 0,
  })
  .option('--cold-factor <factor>', 'Multiplier on the processing time during the cold start', {
    default: 1,
  })
  .action(serve);
cli.help();
cli.parse();
