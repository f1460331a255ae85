import { readFileSync, readdirSync } from 'node:fs';
import { posix } from 'node:path';
import { test } from 'node:test';

import { expect } from 'earl';

/** Modules that each module imports. */
type ImportGraph = ReadonlyMap<string, readonly string[]>;

const PACKAGES = new URL('../../../', import.meta.url);
/** Least number of modules; fewer mean that the walk misses packages. */
const MIN_MODULES = 400;
const RELATIVE_IMPORT = /\b(?:from|import)\s*\(?\s*'(\.[^']+)\.js'/g;

/** Returns the modules that a source text imports by relative paths. */
function importsOf(path: string, text: string): string[] {
  const names = [...text.matchAll(RELATIVE_IMPORT)].map(([, name = '']) => name);
  return names.map((name) => `${posix.join(posix.dirname(path), name)}.ts`);
}

function listModules(folder: string): string[] {
  const entries = readdirSync(new URL(folder, PACKAGES), { withFileTypes: true });
  return entries.flatMap((it) => {
    if (it.isDirectory()) return listModules(`${folder}${it.name}/`);
    return it.name.endsWith('.ts') ? [`${folder}${it.name}`] : [];
  });
}

function readGraph(): ImportGraph {
  const names = readdirSync(PACKAGES, { withFileTypes: true }).filter((it) => it.isDirectory());
  const paths = names.flatMap(({ name }) => listModules(`${name}/src/`));
  const textOf = (path: string) => readFileSync(new URL(path, PACKAGES), 'utf8');
  return new Map(paths.map((path) => [path, importsOf(path, textOf(path))]));
}

/** Returns the modules that a module reaches over its imports. */
function reachedFrom(start: string, graph: ImportGraph): Set<string> {
  const reached = new Set<string>();
  const waiting = [start];
  for (let path = waiting.pop(); path !== undefined; path = waiting.pop()) {
    const found = (graph.get(path) ?? []).filter((it) => !reached.has(it));
    for (const it of found) reached.add(it);
    waiting.push(...found);
  }
  return reached;
}

/** Returns the groups of modules that reach one another, sorted. */
function findCircles(graph: ImportGraph): string[] {
  const reached = new Map([...graph.keys()].map((path) => [path, reachedFrom(path, graph)]));
  const circles = new Set<string>();
  for (const [path, others] of reached) {
    if (!others.has(path)) continue;
    const members = [...others].filter((it) => reached.get(it)?.has(path));
    circles.add(members.sort().join(' '));
  }
  return [...circles].sort();
}

// Guards the check itself: a circle over three modules, also one of types, must be found.
test('finds modules that import one another in a circle', () => {
  const texts = {
    'p/a.ts': "import type { B } from './b.js';",
    'p/b.ts': "export {\n  c,\n} from './sub/c.js';",
    'p/sub/c.ts': "import '../a.js';\nimport { d } from './d.js';",
    'p/sub/d.ts': "import { e } from 'e';",
  };
  const graph = new Map(
    Object.entries(texts).map(([path, text]) => [path, importsOf(path, text)] as const),
  );
  expect(findCircles(graph)).toEqual(['p/a.ts p/b.ts p/sub/c.ts']);
});

// Guards against types that sit in a module above their users, which closes a circle of imports.
test('no modules of a package import one another in a circle', () => {
  const graph = readGraph();
  expect(graph.size).toBeGreaterThanOrEqual(MIN_MODULES);
  expect(findCircles(graph)).toEqual([]);
});
