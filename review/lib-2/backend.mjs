// A stand-in for a backend, as PROTOCOL.md describes it.
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

const SLOTS = 2;
const QUEUE = 8;
const HEARTBEAT_MS = 870;

/** Starts a backend, which registers itself in the store and keeps its entry up to date. */
export async function startBackend({ store, service, id, zone, sharded = false, workMs, on = {} }) {
  const born = Date.now();
  let sequence = 0;
  let state = 'ready';
  let running = 0;
  let holds = [];
  const seen = [];
  const queue = [];
  const sockets = new Set();
  const backend = { id, service, work: workMs, isUp: true };

  const heldBy = (key) =>
    holds.find((it) => it.from <= key && it.to >= key && it.until > performance.now());

  async function readText(req) {
    let text = '';
    for await (const chunk of req) text += String(chunk);
    return text;
  }

  async function grant(req, res) {
    const at = performance.now();
    const order = JSON.parse(await readText(req));
    const isFenced = seen.some(
      (it) => it.from <= order.to && it.to >= order.from && it.fence > order.fence,
    );
    if (!isFenced) {
      holds = holds.filter((it) => it.until > performance.now());
      // A renewal or a wider grant takes the place of what it covers.
      holds = holds.filter((it) => !(it.from >= order.from && it.to <= order.to));
      const { from, to, fence } = order;
      holds.push({ from, to, fence, until: at + order.hold_ms });
      seen.push({ from, to, fence });
      on.grant?.(backend, order);
    }
    res.writeHead(isFenced ? 409 : 200, { 'content-length': 0 });
    res.end();
  }

  async function release(req, res) {
    const order = JSON.parse(await readText(req));
    holds = holds.flatMap((it) => {
      if (it.to < order.from || it.from > order.to) return [it];
      const left = { ...it, to: order.from - 1 };
      const right = { ...it, from: order.to + 1 };
      return [left, right].filter((part) => part.from <= part.to);
    });
    seen.push({ from: order.from, to: order.to, fence: order.fence });
    on.release?.(backend, order);
    const isBusy = () => [...active].some((it) => it.key >= order.from && it.key <= order.to);
    while (isBusy() && backend.isUp) await sleep(2);
    res.writeHead(200, { 'content-length': 0, 'x-boragepoint-handover': `h-${id}-${born}` });
    res.end();
  }

  const active = new Set();

  async function work(req, res, attempt, key) {
    const isKeyed = sharded;
    const hold = isKeyed ? heldBy(key) : undefined;
    if (isKeyed && !hold) {
      refuse(res, 421, attempt);
      return;
    }
    running += 1;
    const run = { attempt, key };
    active.add(run);
    on.run?.(backend, attempt, key, hold);
    const ms = typeof backend.work === 'function' ? backend.work() : backend.work;
    await sleep(ms);
    active.delete(run);
    running -= 1;
    next();
    if (!backend.isUp || res.destroyed) return;
    const body = `${id} ran ${attempt}`;
    on.done?.(backend, attempt);
    res.writeHead(200, {
      ...answerHeaders(attempt),
      'x-boragepoint-server-signature': `s.${id}.${attempt}`,
      'content-length': body.length,
    });
    res.end(body);
  }

  const answerHeaders = (attempt) => ({
    'x-boragepoint-attempt-id': attempt,
    'x-boragepoint-instance-id': id,
    'x-boragepoint-server-load': `${running},${queue.length},${SLOTS}`,
    ...(state === 'draining' && { 'server-leaving': '1' }),
  });

  function refuse(res, status, attempt) {
    res.writeHead(status, {
      ...answerHeaders(attempt),
      'x-boragepoint-not-executed': '1',
      'content-length': 0,
    });
    res.end();
  }

  function next() {
    while (running < SLOTS && queue.length > 0) {
      const { req, res, attempt, key } = queue.shift();
      if (!res.destroyed) void work(req, res, attempt, key);
    }
  }

  async function request(req, res) {
    const attempt = String(req.headers['x-boragepoint-attempt-id'] ?? '');
    await readText(req);
    if (req.headers['x-boragepoint-expect-instance'] !== id) {
      refuse(res, 421, attempt);
      return;
    }
    on.reach?.(backend, attempt);
    const key = Number(req.headers['x-boragepoint-shard-key']);
    if (queue.length >= QUEUE) {
      refuse(res, 503, attempt);
      return;
    }
    queue.push({ req, res, attempt, key });
    next();
  }

  const server = createServer((req, res) => {
    const handler = { '/api/grant': grant, '/api/release': release }[req.url] ?? request;
    handler(req, res).catch(() => res.destroy());
  });
  server.keepAliveTimeout = 10_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${server.address().port}`;

  function beat() {
    sequence += 1;
    return store.put('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots: SLOTS,
      state,
      warmup_left_ms: 0,
      sequence,
      born,
    });
  }
  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);

  return Object.assign(backend, {
    address,
    heldBy,
    /** Reports `draining`; returns the time of the store's acknowledgement. */
    drain() {
      state = 'draining';
      beat();
      return performance.now();
    },
    stop() {
      backend.isUp = false;
      clearInterval(timer);
      for (const socket of sockets) socket.destroy();
      server.close();
    },
    later: (ms, action) => setTimeout(action, ms),
  });
}
