/** Stand-in for requesters. */
import { randomBytes } from 'node:crypto';
import { Agent, request } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

export const newAttempt = () => randomBytes(8).toString('hex');

/** Creates an agent that keeps its connections, as requesters do. */
export const createAgent = (maxSockets = 20) => new Agent({ keepAlive: true, maxSockets });

/**
 * Sends one request attempt; resolves to its status, headers and body, or to status 0 if the
 * connection ended or the time limit passed.
 */
export function send({ port, agent, record, host, path, attempt, deadlineMs, ...rest }) {
  const { method = 'GET', key, body } = rest;
  record.note('sent', { attempt, method, path, ...(key !== undefined && { key }), port });
  return new Promise((resolve) => {
    const headers = {
      host,
      'x-boragepoint-attempt-id': attempt,
      'x-boragepoint-deadline-ms': String(deadlineMs),
      ...(key !== undefined && { 'x-boragepoint-shard-key': String(key) }),
      ...(body !== undefined && { 'content-length': String(body.length) }),
    };
    const req = request({ host: '127.0.0.1', port, agent, method, path, headers });
    const timer = setTimeout(() => req.destroy(), deadlineMs);
    let isDone = false;
    function done(answer) {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      record.note('answered', { attempt, status: answer.status, why: answer.why ?? '-' });
      resolve(answer);
    }
    req.on('response', (res) => {
      let text = '';
      res.setEncoding('latin1');
      res.on('data', (chunk) => (text += chunk));
      res.on('end', () => {
        const isWhole = res.complete;
        done({ status: isWhole ? res.statusCode : 0, headers: res.headers, body: text });
      });
      res.on('error', (err) => done({ status: 0, why: err.code }));
    });
    req.on('error', (err) => done({ status: 0, why: err.code ?? 'ended' }));
    req.on('close', () => done({ status: 0, why: 'closed' }));
    req.end(body);
  });
}
