/** Stand-in for the platform's metadata store, as PROTOCOL.md and the news pages describe it. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

import { close, listen, readText, sleep } from './net.mjs';

const TX_MS = 5;
const READ_MS = 4;
const FIRST_VERSION = 1;
const MAX_ROWS = 500;

const rowId = (it) => `${it.table}\n${it.part ?? ''}\n${it.key}`;
const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');

/** Starts an empty store on a loopback port. */
export async function startStore() {
  const rows = new Map();
  let log = [];
  let version = FIRST_VERSION;
  let wakers = new Set();
  let era = 1;
  let restores = 0;
  /** While set, calls end with a reset connection. */
  let isAway = false;
  const sockets = new Set();

  function wake() {
    const woken = wakers;
    wakers = new Set();
    for (const it of woken) it();
  }

  function set({ table, part = '', key, value }) {
    const row = { table, part, key, value, ver: version };
    rows.set(rowId(row), row);
    log.push(row);
  }

  function drop({ table, part = '', key }) {
    if (!rows.delete(rowId({ table, part, key }))) return;
    log.push({ table, part, key, ver: version, removed: true });
  }

  function transact({ expected_rev: expected = [], set_keys: sets = [], remove = [] }) {
    const holds = expected.every((it) => (rows.get(rowId(it))?.ver ?? 0) === it.ver);
    if (!holds) {
      const current = expected.flatMap((it) => rows.get(rowId(it)) ?? []);
      return { status: 412, body: { rows: current } };
    }
    version += 1;
    for (const it of sets) set(it);
    for (const it of remove) drop(it);
    wake();
    return { status: 200, body: {} };
  }

  function read(query) {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = Buffer.from(query.get('from') ?? '');
    const to = query.get('to');
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
    const found = [...rows.values()]
      .filter((it) => it.table === table && it.part === part)
      .filter((it) => Buffer.compare(Buffer.from(it.key), from) >= 0)
      .filter((it) => to === null || Buffer.compare(Buffer.from(it.key), Buffer.from(to)) < 0)
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
    return { rows: found.slice(0, limit), has_more: found.length > limit };
  }

  async function feed(query) {
    const after = Number(query.get('after'));
    const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    const table = query.get('table');
    const changes = () => log.filter((it) => it.table === table && it.ver > after);
    const until = performance.now() + waitMs;
    const restoresBefore = restores;
    if (after > version) return { status: 410, body: {} };
    while (changes().length === 0 && performance.now() < until) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.max(1, until - performance.now()));
        wakers.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
      if (restores > restoresBefore) return undefined;
    }
    return { status: 200, body: { rows: changes() } };
  }

  async function answer(req, res) {
    const text = await readText(req);
    const url = new URL(req.url, 'http://store');
    let result = { status: 404, body: {} };
    if (url.pathname === '/api/rows-tx') {
      await sleep(TX_MS);
      result = transact(JSON.parse(text));
    } else if (url.pathname === '/api/rows-get') {
      await sleep(READ_MS);
      result = { status: 200, body: read(url.searchParams) };
    } else if (url.pathname === '/api/rows-feed') {
      result = await feed(url.searchParams);
    }
    if (!result || isAway) {
      res.destroy();
      return;
    }
    const body = { ver: version, now_ms: Math.round(performance.now()), ...result.body };
    res.writeHead(result.status, { 'content-type': 'application/json', 'store-era': String(era) });
    res.end(JSON.stringify(body));
  }

  const server = createServer((req, res) => {
    answer(req, res).catch(() => res.destroy());
  });
  server.on('connection', (socket) => {
    if (isAway) {
      socket.resetAndDestroy();
      return;
    }
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  const port = await listen(server);

  return {
    port,
    /** Writes a row as the operator or a backend does. */
    put(table, key, value) {
      transact({ set_keys: [{ table, key, value: encode(value) }] });
    },
    remove(table, key) {
      transact({ remove: [{ table, key }] });
    },
    has: (table, key) => rows.has(rowId({ table, key })),
    isAway: () => isAway,
    /** Resets all connections, and new ones too, until `comeBack`. */
    goAway() {
      isAway = true;
      for (const it of sockets) it.resetAndDestroy();
      wake();
    },
    comeBack() {
      isAway = false;
    },
    takeCopy: () => ({ rows: [...rows], log: [...log], version }),
    /** Goes back to a copy; the era rises by one. */
    restore(copy) {
      rows.clear();
      for (const [id, row] of copy.rows) rows.set(id, row);
      log = [...copy.log];
      version = copy.version;
      era += 1;
      restores += 1;
      wake();
    },
    async stop() {
      for (const it of sockets) it.destroy();
      wake();
      await close(server);
    },
  };
}
