// A stand-in for requesters.
import { request } from 'node:http';
import { performance } from 'node:perf_hooks';

let count = 0;
const RUN_ID = Math.floor(performance.timeOrigin).toString(16);

/** Sends one request on a new connection; resolves to its status, 0 without an answer. */
export function send(port, { host, path, method = 'GET', key, deadlineMs = 5_000, agent }) {
  count += 1;
  const attempt = `${RUN_ID}-${count}`;
  const headers = {
    host,
    'x-boragepoint-attempt-id': attempt,
    'x-boragepoint-deadline-ms': String(deadlineMs),
    ...(key !== undefined && { 'x-boragepoint-shard-key': String(key) }),
  };
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (status, server) => {
      resolve({ attempt, key, status, server, sentAt, endedAt: performance.now() });
    };
    const req = request({ host: '127.0.0.1', port, path, method, headers, agent }, (res) => {
      res.resume();
      res.on('end', () => finish(res.statusCode, res.headers['x-boragepoint-instance-id']));
      res.on('close', () => finish(0));
    });
    req.setTimeout(deadlineMs, () => req.destroy());
    req.on('error', () => finish(0));
    req.end();
  });
}
