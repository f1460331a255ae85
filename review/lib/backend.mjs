/** Stand-in for a backend, as PROTOCOL.md describes it. */
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';

import { freePorts, listen, readText, sleep } from './net.mjs';

const SLOTS = 2;
const QUEUE = 8;
const MAX_ENTRY_SILENCE = 3;

/**
 * Creates a backend. `start` begins a life: it listens, holds no keys, and writes its entry now and
 * then once each `heartbeatMs`. `crash` ends the life at once.
 */
export function createBackend({ id, service, zone, store, record, heartbeatMs, ...options }) {
  const { isSharded = false, workMs = 100, warmupMs = 0 } = options;
  const backend = {
    id,
    service,
    port: 0,
    /** False while the backend is partitioned from the store. */
    reachesStore: true,
    /** Number of its present life; the checks tell lives apart by it. */
    life: 0,
    isUp: false,
    /** If it returns a status, the request gets that instead of being run. */
    onRequest: undefined,
    state: 'ready',
    start,
    crash,
    leave,
    stop,
    beat,
  };
  let current;

  function beat() {
    const state = current;
    if (!state) return;
    state.sequence += 1;
    if (!backend.reachesStore || store.isAway()) return;
    const age = performance.now() - state.startedAt;
    backend.lastBeatAt = performance.now();
    store.put('servers', id, {
      service,
      address: `127.0.0.1:${backend.port}`,
      zone,
      version: 'v1',
      slots: SLOTS,
      state: backend.state,
      warmup_left_ms: Math.max(0, Math.round(warmupMs - age)),
      sequence: state.sequence,
      born: state.born,
    });
    if (state.sequence === 1 || !state.isRegistered) record.note('entry', label());
    state.isRegistered = true;
  }

  const label = () => ({ server: id, life: backend.life });

  async function start() {
    backend.life += 1;
    const state = {
      born: Date.now(),
      startedAt: performance.now(),
      sequence: 0,
      leases: [],
      /** Highest fence seen, by span. */
      seen: [],
      running: new Map(),
      waiting: [],
      sockets: new Set(),
      isRegistered: false,
    };
    state.http = createServer((req, res) => {
      handle(state, req, res).catch(() => res.destroy());
    });
    state.http.keepAliveTimeout = 10_000;
    state.http.on('connection', (socket) => {
      state.sockets.add(socket);
      socket.on('close', () => state.sockets.delete(socket));
    });
    backend.port ||= (await freePorts(1))[0];
    await listen(state.http, backend.port);
    current = state;
    backend.isUp = true;
    record.note('starts', label());
    beat();
    state.timer = setInterval(beat, heartbeatMs);
  }

  function end() {
    const state = current;
    current = undefined;
    backend.isUp = false;
    if (!state) return;
    clearInterval(state.timer);
    state.http.close();
    for (const it of state.sockets) it.resetAndDestroy();
  }

  function crash() {
    record.note('crashes', label());
    end();
  }

  /**
   * Reports that it drains, serves for `servesMs` after the store has taken that, and exits.
   * Returns when the store took it.
   */
  function leave(servesMs) {
    backend.state = 'draining';
    beat();
    const at = record.note('draining', label());
    void sleep(servesMs).then(() => {
      const cut = [...(current?.running.values() ?? [])].map((it) => it.attempt);
      record.note('exits', { ...label(), cut: cut.join() });
      end();
      store.remove('servers', id);
      options.onExit?.({ backend, cut });
    });
    return at;
  }

  function stop() {
    end();
  }

  async function handle(state, req, res) {
    const text = await readText(req);
    if (state !== current) return;
    if (req.url === '/healthz') {
      res.writeHead(200, { 'x-boragepoint-instance-id': id, 'content-length': 0 });
      res.end();
    } else if (req.url === '/api/grant') {
      grant(state, JSON.parse(text), res);
    } else if (req.url === '/api/release') {
      await release(state, JSON.parse(text), res);
    } else {
      await serve(state, req, res);
    }
  }

  function grant(state, order, res) {
    const { from, to, fence, hold_ms: holdMs } = order;
    const isFenced = state.seen.some((it) => it.from <= to && it.to >= from && it.fence > fence);
    const fields = { ...label(), from, to, fence, holdMs };
    if (isFenced) {
      record.note('grant refused', fields);
      res.writeHead(409, { 'content-length': 0 });
      res.end();
      return;
    }
    const at = record.note('grant', fields);
    const until = performance.now() + holdMs;
    state.seen.push({ from, to, fence });
    state.leases = cutLeases(state.leases, from, to);
    state.leases.push({ from, to, fence, until });
    options.onGrant?.({ backend, from, to, fence, at, until: at + holdMs });
    res.writeHead(200, { 'content-length': 0 });
    res.end();
  }

  async function release(state, { from, to, fence }, res) {
    const at = record.note('release', { ...label(), from, to, fence });
    state.leases = cutLeases(state.leases, from, to);
    options.onRelease?.({ backend, from, to, at });
    const runs = [...state.running.values()].filter((it) => it.key >= from && it.key <= to);
    await Promise.all(runs.map((it) => it.ended));
    if (state !== current) return;
    res.writeHead(200, { 'x-boragepoint-handover': `${id}-${fence}`, 'content-length': 0 });
    res.end();
  }

  const holds = (state, key) =>
    state.leases.some((it) => it.from <= key && it.to >= key && it.until > performance.now());

  function refuse(res, status, attempt) {
    res.writeHead(status, {
      'x-boragepoint-not-executed': '1',
      'x-boragepoint-attempt-id': attempt,
      'x-boragepoint-instance-id': id,
      'content-length': 0,
    });
    res.end();
  }

  async function serve(state, req, res) {
    const attempt = req.headers['x-boragepoint-attempt-id'];
    const key = Number(req.headers['x-boragepoint-shard-key'] ?? -1);
    const expected = req.headers['x-boragepoint-expect-instance'];
    const isMine = expected === undefined || expected === id;
    if (!isMine || (isSharded && !holds(state, key))) {
      refuse(res, 421, attempt);
      return;
    }
    options.onReach?.({ backend, attempt, at: record.now() });
    const status = backend.onRequest?.(req, attempt);
    if (status !== undefined) {
      refuse(res, status, attempt);
      return;
    }
    if (state.running.size >= SLOTS) {
      if (state.waiting.length >= QUEUE) {
        refuse(res, 503, attempt);
        return;
      }
      await new Promise((resolve) => state.waiting.push(resolve));
      if (state !== current || res.destroyed) {
        state.waiting.shift()?.();
        return;
      }
      if (isSharded && !holds(state, key)) {
        state.waiting.shift()?.();
        refuse(res, 421, attempt);
        return;
      }
    }
    await run(state, attempt, key, res);
  }

  async function run(state, attempt, key, res) {
    const at = record.note('runs', { ...label(), attempt, key });
    options.onRun?.({ backend, attempt, key, at });
    let finish;
    const ended = new Promise((resolve) => (finish = resolve));
    const token = {};
    state.running.set(token, { key, ended, attempt });
    await sleep(workMs * (0.5 + Math.random()));
    state.running.delete(token);
    finish();
    state.waiting.shift()?.();
    if (state !== current) return;
    const body = `answer of ${id} to ${attempt} `.padEnd(options.answerBytes ?? 0, 'x');
    res.writeHead(200, {
      'x-boragepoint-attempt-id': attempt,
      'x-boragepoint-server-signature': `sig.${id}.${attempt}`,
      'x-boragepoint-server-load': `${state.running.size},${state.waiting.length},${SLOTS}`,
      'content-length': body.length,
    });
    res.end(body);
  }

  return backend;
}

/** Takes a span out of leases. */
function cutLeases(leases, from, to) {
  return leases.flatMap((it) => {
    if (it.to < from || it.from > to) return [it];
    const left = { ...it, to: from - 1 };
    const right = { ...it, from: to + 1 };
    return [left, right].filter((part) => part.from <= part.to);
  });
}

/** Removes entries after three status report intervals of silence, as the platform does. */
export function expireEntries(backends, store, heartbeatMs, record) {
  const timer = setInterval(() => {
    for (const it of backends) {
      const silentMs = performance.now() - (it.lastBeatAt ?? performance.now());
      if (silentMs < MAX_ENTRY_SILENCE * heartbeatMs || !store.has('servers', it.id)) continue;
      record.note('entry lapses', { server: it.id });
      store.remove('servers', it.id);
    }
  }, 100);
  return () => {
    clearInterval(timer);
  };
}
