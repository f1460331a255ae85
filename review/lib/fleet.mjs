/** A small deployment: a store, backends, routers and requesters. */
import { createAgent, newAttempt, send } from './client.mjs';
import { createBackend, expireEntries } from './backend.mjs';
import { sleep } from './net.mjs';
import { startProxy } from './proxy.mjs';
import { startRouters } from './routers.mjs';
import { startStore } from './store.mjs';

/** Time between two status reports of a backend, in milliseconds, as in karmel-gate.toml. */
export const HEARTBEAT_MS = 1_500;
export const HOST = 'jepu9.example';

/** The operator's desired state: a safe route to a sharded service, an unsafe one to another. */
export function desiredState({ timeoutMs = 1_200, version = '00000002' } = {}) {
  const route = (name, kind, service, priority) => ({
    name,
    hostname: HOST,
    prefix: `/${name}/`,
    kind,
    timeout_ms: timeoutMs,
    target_latency_ms: 600,
    priority,
    service,
    max_attempts: 2,
  });
  const service = (name) => ({ name, health_path: '/healthz', max_connections: 110 });
  return {
    version,
    routes: [
      route('read', 'safe', 'timetable', 2),
      route('pay', 'unsafe', 'registrar', 1),
      route('look', 'safe', 'registrar', 2),
    ],
    services: [
      { ...service('timetable'), sharded: true, warm_s: 3, grants: 'call' },
      service('registrar'),
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  };
}

/** Starts a deployment; `listeners` are passed to the backends. */
export async function startFleet({ record, routers = 3, sharded = 6, plain = 0, ...options }) {
  const store = await startStore();
  store.put('op', 'config', options.config ?? desiredState());
  const common = { zone: 'z1', store, record, heartbeatMs: HEARTBEAT_MS, ...options.listeners };
  const names = [
    ...Array.from({ length: sharded }, (_, index) => ({ id: `i-t${index}`, isSharded: true })),
    ...Array.from({ length: plain }, (_, index) => ({ id: `i-r${index}`, isSharded: false })),
  ];
  const backends = names.map((it) =>
    createBackend({
      ...common,
      ...it,
      service: it.isSharded ? 'timetable' : 'registrar',
      workMs: options.workMs ?? 100,
      warmupMs: options.warmupMs ?? 3_000,
      answerBytes: options.answerBytes ?? 0,
    }),
  );
  for (const it of backends) await it.start();
  const stopExpiry = expireEntries(backends, store, HEARTBEAT_MS, record);
  const proxies = options.hasProxies
    ? await Promise.all(Array.from({ length: routers }, () => startProxy(store.port)))
    : [];
  const fleet = await startRouters({
    count: routers,
    storePort: store.port,
    storePorts: proxies.map((it) => it.port),
    record,
    ...options,
  });
  return {
    store,
    backends,
    /** Proxies before the store, one for each router. */
    proxies,
    /** Starts another backend of the sharded service. */
    async addBackend(id) {
      const backend = createBackend({
        ...common,
        id,
        isSharded: true,
        service: 'timetable',
        workMs: options.workMs ?? 100,
        warmupMs: options.warmupMs ?? 3_000,
      });
      backends.push(backend);
      await backend.start();
      return backend;
    },
    routers: fleet.routers,
    areReady: () => fleet.areReady(),
    async stop() {
      await fleet.stop();
      stopExpiry();
      for (const it of backends) it.stop();
      await Promise.all(proxies.map((it) => it.stop()));
      await store.stop();
    },
  };
}

/** Sends safe requests for keys at a steady rate until `until` says so; busy keys lie together. */
export async function sendKeyed({ routers, record, perS, isOver, ...options }) {
  const { deadlineMs = 2_500, onSend, onAnswer } = options;
  const agents = routers.map(() => createAgent());
  const open = new Set();
  const hot = Math.floor(Math.random() * 60_000);
  for (let count = 0; !isOver(); count += 1) {
    const index = count % routers.length;
    const key =
      Math.random() < 0.35
        ? hot + Math.floor(Math.random() * 200)
        : Math.floor(Math.random() * 65_536);
    const attempt = newAttempt();
    const { front } = routers[index].ports;
    const path = `/read/${key.toString(16)}`;
    const request = { port: front, agent: agents[index], record, host: HOST, path, attempt };
    onSend?.({ attempt, router: routers[index] });
    const sent = send({ ...request, key, deadlineMs }).then((answer) => {
      open.delete(sent);
      onAnswer?.(answer, attempt);
    });
    open.add(sent);
    await sleep(1_000 / perS);
  }
  await Promise.all(open);
  for (const it of agents) it.destroy();
}
