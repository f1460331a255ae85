// Bundles the router for the platform from its TypeScript sources: target/router.cjs and
// target/router.mjs take signals and then load the program, target/run-router-DIGEST.cjs. A single
// minified file with its compiled code next to it loads faster than separate modules, which shortens
// the router's start.
import { spawnSync } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdirSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { build } from 'esbuild';

import { cacheName } from './code-cache.mjs';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const packages = readdirSync(path.join(root, 'packages'));

const target = path.join(root, 'target');
const DIGEST_CHARS = 12;
/** Defines what CommonJS files have and an ES module has not. */
const DIRECTORY_OF_MODULE =
  "import { fileURLToPath as toPath } from 'node:url'; const __dirname = toPath(new URL('.', import.meta.url));";

/** Resolves libraries to modules that export only the parts of them that the router uses. */
const corePlugin = {
  name: 'core',
  setup(build) {
    build.onResolve({ filter: /^(undici|prom-client)$/ }, (it) => ({
      path: path.join(root, `scripts/${it.path}-core.mjs`),
    }));
  },
};

/** Replaces the program in the entry points by the module that loads its bundle. */
const programPlugin = {
  name: 'program',
  setup(build) {
    build.onResolve({ filter: /\/run-router\.js$/ }, () => ({
      path: path.join(root, 'scripts/cached-program.mjs'),
    }));
  },
};

const options = {
  absWorkingDir: root,
  bundle: true,
  platform: 'node',
  target: 'node20',
  minify: true,
  legalComments: 'none',
};

/** Bundles the program, and writes its compiled code; returns the digest in the names of both. */
async function bundleProgram() {
  const { outputFiles } = await build({
    ...options,
    format: 'cjs',
    entryPoints: ['platform/src/lib/run-router.ts'],
    write: false,
    plugins: [corePlugin],
    alias: Object.fromEntries(
      packages.map((name) => [`@boragepoint/${name}`, `./packages/${name}/src/index.ts`]),
    ),
  });
  const source = `(function (exports, require, module) {${outputFiles[0].text}\n})`;
  const digest = createHash('sha256').update(source).digest('hex').slice(0, DIGEST_CHARS);
  const program = path.join(target, `run-router-${digest}.cjs`);
  mkdirSync(target, { recursive: true });
  writeFileSync(program, source);
  const writer = path.join(root, 'scripts/write-code-cache.mjs');
  const cache = path.join(target, cacheName(digest));
  const { status } = spawnSync(process.execPath, [writer, program, cache], { stdio: 'inherit' });
  // The program works without the cache.
  if (status !== 0) console.warn(`the program's code could not be compiled: status ${status}`);
  return digest;
}

const digest = await bundleProgram();

// Node.js runs a CommonJS file sooner after its own start than a module, so that signals are taken
// sooner.
for (const [outfile, format, banner] of [
  ['target/router.cjs', 'cjs', ''],
  ['target/router.mjs', 'esm', DIRECTORY_OF_MODULE],
]) {
  await build({
    ...options,
    format,
    entryPoints: ['platform/src/bin/router.ts'],
    outfile,
    plugins: [programPlugin],
    define: { PROGRAM_DIGEST: JSON.stringify(digest) },
    banner: { js: banner },
  });
}

// Files of former builds are removed once the entry points don't name them any more.
for (const name of readdirSync(target)) {
  const isFormer = name.startsWith('run-router') && !name.startsWith(`run-router-${digest}`);
  if (isFormer) rmSync(path.join(target, name));
}
