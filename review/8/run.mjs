// Case 8: connections are reset in the middle of answers that have no length.
import { writeFileSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { startRouters } from '../lib-2/routers.mjs';
import { startStore } from '../lib-2/store.mjs';

const FOLDER = dirname(fileURLToPath(import.meta.url));
/** Exit code of a broken rule; an unexpected error ends with another one. */
const BROKEN = 10;
const TROUBLE = process.env.TROUBLE !== '0';
/** The trouble comes in spells, which are no longer than the site's; requests go on between them. */
const SPELLS = 3;
const SPELL_MS = 5_500;
const PAUSE_MS = 2_500;
const RUN_MS = SPELLS * (SPELL_MS + PAUSE_MS);
const BACKENDS = 6;
/** Share of the backends that spoil answers, and the share of their answers that they spoil. */
const FAULTY_SHARE = 0.5;
const SPOILT_SHARE = 0.02;
const CLIENTS = 12;
const ZONES = { 'amman-a': 'amman', 'irbid-a': 'irbid', 'aqaba-a': 'aqaba' };

const record = [];
const startedAt = performance.now();
function note(text) {
  record.push(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}`);
}

/** Whole bodies by attempt: what backends have made, whether or not it was sent to its end. */
const bodies = new Map();
let spoilt = 0;
let loadFrom = Infinity;

/** Whether a spell of trouble is on; each is followed by a pause. */
const isSpell = () => {
  const ms = performance.now() - loadFrom;
  return ms >= 0 && ms % (SPELL_MS + PAUSE_MS) < SPELL_MS;
};

/**
 * A backend. A faulty one answers some requests without a length; with TROUBLE, it sends half of
 * such an answer and resets the connection.
 */
async function startBackend(store, number) {
  const id = `i-archive-${number}`;
  const isFaulty = number <= BACKENDS * FAULTY_SHARE;
  const born = Date.now();
  let sequence = 0;
  let runs = 0;
  let served = 0;
  const sockets = new Set();

  async function answer(socket, head) {
    const header = (name) => new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1] ?? '';
    const attempt = header('x-boragepoint-attempt-id');
    const common = [
      `X-Boragepoint-Attempt-Id: ${attempt}`,
      `X-Boragepoint-Instance-Id: ${id}`,
      `X-Boragepoint-Server-Load: ${runs},0,2`,
    ];
    if (header('x-boragepoint-expect-instance') !== id) {
      const lines = ['HTTP/1.1 421 Misdirected Request', ...common, 'Content-Length: 0', '', ''];
      socket.write(lines.join('\r\n'));
      return;
    }
    runs += 1;
    served += 1;
    const isOdd = isFaulty && isSpell() && served % Math.round(1 / SPOILT_SHARE) === 0;
    await sleep(20 + (served % 5) * 10);
    runs -= 1;
    const body = `${attempt} `.repeat(100);
    bodies.set(attempt, body);
    const signed = ['HTTP/1.1 200 OK', ...common, `X-Boragepoint-Server-Signature: s.${attempt}`];
    if (!isOdd) {
      const lines = [...signed, `Content-Length: ${body.length}`, '', ''];
      socket.write(lines.join('\r\n') + body);
      return;
    }
    const lines = [...signed, 'Connection: close', '', ''];
    if (!TROUBLE) {
      socket.end(lines.join('\r\n') + body);
      return;
    }
    spoilt += 1;
    const half = body.slice(0, body.length / 2);
    note(`${id} sends ${half.length} of ${body.length} bytes for ${attempt} and resets`);
    socket.write(lines.join('\r\n') + half, () => socket.resetAndDestroy());
  }

  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      // The requests of this case have no body.
      for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
        const head = text.slice(0, end);
        text = text.slice(end + 4);
        void answer(socket, head);
      }
    });
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  const beat = () => {
    sequence += 1;
    store.put('servers', id, {
      service: 'archive',
      address: `127.0.0.1:${server.address().port}`,
      zone: Object.keys(ZONES)[number % 3],
      version: 'v1',
      slots: 2,
      state: 'ready',
      warmup_left_ms: 0,
      sequence,
      born,
    });
  };
  beat();
  const timer = setInterval(beat, 870);
  return () => {
    clearInterval(timer);
    for (const socket of sockets) socket.destroy();
    server.close();
  };
}

let count = 0;
const counts = { successes: 0, others: 0, cut: 0 };

/** Sends one request on a new connection and reads the answer to its end. */
function ask(port) {
  count += 1;
  const attempt = `${process.pid}-${count}`;
  return new Promise((resolve) => {
    const socket = connect({ host: '127.0.0.1', port });
    let text = '';
    let end = 'none';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      const split = text.indexOf('\r\n\r\n');
      const length = /^content-length: *(\d+)/im.exec(text.slice(0, split))?.[1];
      if (length !== undefined && text.length >= split + 4 + Number(length)) socket.end();
    });
    socket.on('end', () => (end = 'closed'));
    socket.on('error', (err) => (end = err.code));
    socket.on('close', () => resolve({ attempt, text, end }));
    socket.setTimeout(8_000, () => socket.destroy());
    const lines = [
      `GET /transcripts/${count} HTTP/1.1`,
      'Host: karmel.example',
      `X-Boragepoint-Attempt-Id: ${attempt}`,
      'X-Boragepoint-Deadline-Ms: 5000',
      '',
      '',
    ];
    socket.write(lines.join('\r\n'));
  });
}

function judge({ attempt, text, end }) {
  const split = text.indexOf('\r\n\r\n');
  const head = text.slice(0, split);
  if (!/^HTTP\/1\.1 2/.test(head)) {
    counts.others += 1;
    return;
  }
  const stated = /^content-length: *(\d+)/im.exec(head)?.[1];
  const isChunked = /^transfer-encoding:.*chunked/im.test(head);
  const body = text.slice(split + 4);
  const endsWithConnection = stated === undefined && !isChunked;
  const looksComplete = endsWithConnection ? end === 'closed' : Number(stated) === body.length;
  if (!looksComplete) {
    counts.others += 1;
    return;
  }
  counts.successes += 1;
  const whole = bodies.get(attempt);
  if (body === whole) return;
  counts.cut += 1;
  note(
    `BROKEN: ${attempt} got ${head.split('\r\n')[0]}, length: ${stated ?? 'none'}, ${body.length} ` +
      `of the backend's ${whole?.length ?? 0} bytes, connection: ${end}: it looks complete`,
  );
}

const store = await startStore();
store.put('op', 'config', {
  version: '00000003',
  routes: [
    {
      name: 'transcript-reads',
      hostname: 'karmel.example',
      prefix: '/transcripts/',
      kind: 'safe',
      timeout_ms: 2_500,
      target_latency_ms: 1_200,
      priority: 2,
      max_attempts: 2,
      service: 'archive',
    },
  ],
  services: [{ name: 'archive', max_connections: 110 }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 65_536,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 10_000,
  },
});
const stops = [];
for (let number = 1; number <= BACKENDS; number += 1) stops.push(await startBackend(store, number));
const fleet = await startRouters({
  zoneList: Object.keys(ZONES),
  zones: ZONES,
  storeOf: () => store.address,
});
try {
  loadFrom = performance.now();
  const until = loadFrom + RUN_MS;
  const client = async (number) => {
    const { callers } = fleet.routers[number % fleet.routers.length];
    while (performance.now() < until) {
      judge(await ask(callers));
      await sleep(20);
    }
  };
  await Promise.all(Array.from({ length: CLIENTS }, (_, number) => client(number)));
} finally {
  fleet.stop();
  for (const stop of stops) stop();
  store.close();
}
note(
  `${count} requests, ${counts.successes} successes, ${counts.others} other answers, ${spoilt} ` +
    `answers reset midway, ${counts.cut} successes with a part of the body`,
);
writeFileSync(join(FOLDER, 'record.txt'), `${record.join('\n')}\n`);
process.exit(counts.successes === 0 ? 2 : counts.cut > 0 ? BROKEN : 0);
