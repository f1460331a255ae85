// Runs every compiled test file with Node's built-in test runner. Failures listed in KNOWN-RED.txt
// are printed and don't fail the run; any other failure does, and so does a run in which no test
// passes.
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
/** These files measure memory under load, so that they run after the others, one by one. */
const ALONE_FILES = [
  'client-crowds_test.js',
  'client-memory_test.js',
  'endless-bodies_test.js',
  'endless-responses_test.js',
];
const TEST_LINE_PREFIX = 'test: ';

/** Lists the compiled test files, without those whose source has been deleted. */
function testFiles() {
  const folders = readdirSync(path.join(root, 'packages')).map((name) => `packages/${name}`);
  return [...folders, 'platform']
    .map((folder) => path.join(root, folder, 'dist', 'test'))
    .filter((dir) => existsSync(dir))
    .flatMap((dir) => readdirSync(dir).map((file) => path.join(dir, file)))
    .filter((file) => file.endsWith('_test.js'))
    .filter((file) => existsSync(file.replace('/dist/', '/src/').replace(/\.js$/, '.ts')))
    .sort();
}

/** Reads the titles of known failures: each stands in KNOWN-RED.txt on a line `test: TITLE`. */
function readKnownFailures() {
  const file = path.join(root, 'KNOWN-RED.txt');
  if (!existsSync(file)) return [];
  return readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith(TEST_LINE_PREFIX))
    .map((line) => line.slice(TEST_LINE_PREFIX.length).trim());
}

const knownFailures = new Set(readKnownFailures());
const failures = [];
let passes = 0;

// forceExit: without it, an open handle would keep the process of a test file alive after its tests
// have ended, and so delay the other files.
function runFiles(files, concurrency) {
  const stream = run({ files, concurrency, forceExit: true });
  stream.on('test:pass', () => (passes += 1));
  stream.on('test:fail', (event) => {
    // A test whose subtests failed is reported as failed too; only the subtests are counted.
    const onlySubtestsFailed = event.details.error?.failureType === 'subtestsFailed';
    if (!onlySubtestsFailed) failures.push(event.name);
  });
  stream.compose(new spec()).pipe(process.stdout);
  return new Promise((resolve) => stream.on('end', resolve));
}

/** Prints the failures and sets the exit code. */
function report() {
  const unexpected = failures.filter((name) => !knownFailures.has(name));
  const expected = failures.filter((name) => knownFailures.has(name));
  for (const name of expected) console.log(`known red, passed over: ${name}`);
  for (const name of unexpected) console.log(`failed: ${name}`);
  process.exitCode = unexpected.length > 0 || passes === 0 ? 1 : 0;
}

const files = testFiles();
const isAlone = (file) => ALONE_FILES.includes(path.basename(file));
await runFiles(
  files.filter((file) => !isAlone(file)),
  4,
);
await runFiles(files.filter(isAlone), 1);
report();
