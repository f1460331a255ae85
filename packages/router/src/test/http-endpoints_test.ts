import { type AddressInfo, connect } from 'node:net';
import { test } from 'node:test';

import { expect } from 'earl';

import { closeServer, serveReadiness } from '../lib/http-endpoints.js';

// Guards against a client of the readiness check that keeps the parser busy with a body without end.
test('a request for readiness with a body is answered, and its connection is closed', async () => {
  const server = await serveReadiness(() => true, { host: '127.0.0.1', port: 0 });
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  client.on('error', () => undefined);
  let received = '';
  client.on('data', (part) => (received += String(part)));
  const head = 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n';
  client.write(`${head}${'1\r\nx\r\n'.repeat(100)}`);
  await new Promise((resolve) => client.once('data', resolve));
  expect(received.slice(0, 12)).toEqual('HTTP/1.1 200');
  expect(received.toLowerCase().includes('connection: close')).toEqual(true);
  client.destroy();
  closeServer(server);
});

// Guards against a connection that is closed after each readiness check, as if it had a body.
test('a connection carries several requests for readiness', async () => {
  const server = await serveReadiness(() => true, { host: '127.0.0.1', port: 0 });
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  let received = '';
  client.on('data', (part) => (received += String(part)));
  const request = 'GET / HTTP/1.1\r\nhost: a\r\n';
  client.write(`${request}\r\n${request}\r\n${request}connection: close\r\n\r\n`);
  await new Promise((resolve) => client.once('close', resolve));
  expect(received.split('HTTP/1.1 200').length - 1).toEqual(3);
  closeServer(server);
});
