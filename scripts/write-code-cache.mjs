// Writes the code that V8 compiles when it loads a bundled program: node write-code-cache.mjs PROGRAM
// CACHE. Runs in a process of its own because it loads the program.
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { Script } from 'node:vm';

const [, , filename, cache] = process.argv;
const script = new Script(readFileSync(filename, 'utf8'), { filename });
const program = { exports: {} };
// Functions that run while the program is loaded are compiled, and so become part of the cache.
script.runInThisContext()(program.exports, createRequire(filename), program);
writeFileSync(cache, script.createCachedData());
