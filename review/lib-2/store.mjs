// A stand-in for the platform's store, as PROTOCOL.md and the news pages describe it.
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');

/** Starts an empty store on a loopback port. */
export async function startStore() {
  let rows = new Map();
  let log = [];
  let version = 0;
  let era = 1;
  let away = false;
  let waiting = [];
  const sockets = new Set();

  const idOf = ({ table, part = '', key }) => `${table}\u0000${part}\u0000${key}`;
  const wake = () => {
    const all = waiting;
    waiting = [];
    for (const it of all) it();
  };

  function transact({ expected_rev: expected = [], set_keys: sets = [], remove = [] }) {
    if (expected.some((it) => (rows.get(idOf(it))?.ver ?? 0) !== it.ver)) {
      return { status: 412, rows: expected.flatMap((it) => rows.get(idOf(it)) ?? []) };
    }
    version += 1;
    for (const { table, part = '', key, value } of sets) {
      const row = { table, part, key, value, ver: version };
      rows.set(idOf(row), row);
      log.push(row);
    }
    for (const { table, part = '', key } of remove) {
      rows.delete(idOf({ table, part, key }));
      log.push({ table, part, key, ver: version, removed: true });
    }
    wake();
    return { status: 200 };
  }

  function reply(res, status, body) {
    res.writeHead(status, { 'content-type': 'application/json', 'store-era': String(era) });
    res.end(JSON.stringify({ ver: version, now_ms: Math.round(performance.now()), ...body }));
  }

  async function handle(req, res) {
    const url = new URL(req.url ?? '/', 'http://store');
    const query = url.searchParams;
    const table = query.get('table') ?? '';
    if (url.pathname === '/api/rows-tx') {
      let text = '';
      for await (const chunk of req) text += String(chunk);
      const { status, ...rest } = transact(JSON.parse(text));
      reply(res, status, rest);
      return;
    }
    if (url.pathname === '/api/rows-get') {
      const from = query.get('from') ?? '';
      const found = [...rows.values()]
        .filter((it) => it.table === table && it.part === '' && it.key >= from)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      reply(res, 200, { rows: found, has_more: false });
      return;
    }
    if (url.pathname === '/api/rows-feed') {
      const after = Number(query.get('after'));
      const startEra = era;
      const changes = () => log.filter((it) => it.table === table && it.ver > after);
      if (after > version) {
        reply(res, 410, {});
        return;
      }
      if (changes().length === 0) {
        await new Promise((resolve) => {
          setTimeout(resolve, Number(query.get('wait_ms') ?? 0));
          waiting.push(resolve);
        });
      }
      if (startEra !== era) res.destroy();
      else reply(res, 200, { rows: changes() });
      return;
    }
    reply(res, 404, {});
  }

  const server = createServer((req, res) => {
    handle(req, res).catch(() => res.destroy());
  });
  server.keepAliveTimeout = 60_000;
  server.on('connection', (socket) => {
    if (away) {
      socket.resetAndDestroy();
      return;
    }
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));

  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes a row as the operator or a backend does; false while the store is away. */
    put(table, key, value) {
      if (away) return false;
      transact({ set_keys: [{ table, key, value: encode(value) }] });
      return true;
    },
    remove(table, key) {
      if (away) return false;
      if (rows.has(idOf({ table, key }))) transact({ remove: [{ table, key }] });
      return true;
    },
    has: (table, key) => rows.has(idOf({ table, key })),
    /** The store can't be reached until `comeBack`; its connections are reset. */
    goAway() {
      away = true;
      for (const socket of sockets) socket.resetAndDestroy();
      wake();
    },
    comeBack() {
      away = false;
    },
    copy: () => ({ rows: new Map(rows), log: [...log], version }),
    /** Goes back to a copy; the era rises by one. */
    restore(copy) {
      rows = new Map(copy.rows);
      log = [...copy.log];
      version = copy.version;
      era += 1;
      wake();
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
