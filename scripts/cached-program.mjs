// Stands in for the module `run-router.js` in the bundled entry points: runs the bundled program with
// the code that V8 compiled for it when it was bundled. scripts/bundle.mjs sets PROGRAM_DIGEST.
/* global __dirname, PROGRAM_DIGEST */
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import path from 'node:path';
import { setFlagsFromString } from 'node:v8';
import { Script } from 'node:vm';

import { cacheName } from './code-cache.mjs';

/** Returns the compiled code for this version of Node.js and this processor, if there is any. */
function readCache() {
  try {
    return readFileSync(path.join(__dirname, cacheName(PROGRAM_DIGEST)));
  } catch {
    return undefined;
  }
}

// V8 refuses code that was compiled with other flags. The limit of the heap, which differs between
// instances, is in force since the process started; the flag is not read again.
setFlagsFromString('--max-old-space-size=0');

const filename = path.join(__dirname, `run-router-${PROGRAM_DIGEST}.cjs`);
// V8 compiles the source if it refuses the compiled code.
const script = new Script(readFileSync(filename, 'utf8'), { filename, cachedData: readCache() });
const program = { exports: {} };
script.runInThisContext()(program.exports, createRequire(filename), program);

export const { runRouter } = program.exports;
