// Bundles the router for the platform from its TypeScript sources: target/router.cjs and
// target/router.mjs take signals and then load the program, target/run-router.mjs. A single minified
// file loads faster than separate modules, which shortens the router's start.
import { readdirSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { build } from 'esbuild';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const packages = readdirSync(path.join(root, 'packages'));

/** Resolves `undici` to a module that exports only the parts of it that the router uses. */
const undiciCorePlugin = {
  name: 'undici-core',
  setup(build) {
    build.onResolve({ filter: /^undici$/ }, () => ({
      path: path.join(root, 'scripts/undici-core.mjs'),
    }));
  },
};

/** Leaves the program out of the file that loads it. */
const programPlugin = {
  name: 'program',
  setup(build) {
    build.onResolve({ filter: /\/run-router\.js$/ }, () => ({
      path: './run-router.mjs',
      external: true,
    }));
  },
};

const options = {
  absWorkingDir: root,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  legalComments: 'none',
};

// Node.js runs a CommonJS file sooner after its own start than a module, so that signals are taken
// sooner.
for (const [outfile, format] of [
  ['target/router.cjs', 'cjs'],
  ['target/router.mjs', 'esm'],
]) {
  await build({
    ...options,
    format,
    entryPoints: ['platform/src/bin/router.ts'],
    outfile,
    plugins: [programPlugin],
  });
}

await build({
  ...options,
  entryPoints: ['platform/src/lib/run-router.ts'],
  outfile: 'target/run-router.mjs',
  plugins: [undiciCorePlugin],
  alias: Object.fromEntries(
    packages.map((name) => [`@boragepoint/${name}`, `./packages/${name}/src/index.ts`]),
  ),
  // Bundled CommonJS packages call `require` for Node's built-in modules; an ES module has none.
  banner: {
    js: "import { createRequire as __createRequire } from 'node:module'; const require = __createRequire(import.meta.url);",
  },
});
