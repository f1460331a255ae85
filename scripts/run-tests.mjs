// Runs every compiled test file with node's own runner. Failures that KNOWN-RED.txt lists are
// printed and passed over; any other failure fails the run, and so does a run without tests.
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';

const root = path.dirname(path.dirname(fileURLToPath(import.meta.url)));
const TEST_LINE_PREFIX = 'test: ';

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

// A file whose tests have all ended does not hold up the others by a handle that is still open.
const stream = run({ files: testFiles(), concurrency: 4, forceExit: true });
stream.on('test:pass', () => (passes += 1));
stream.on('test:fail', (event) => {
  const onlySubtestsFailed = event.details.error?.failureType === 'subtestsFailed';
  if (!onlySubtestsFailed) failures.push(event.name);
});
stream.compose(new spec()).pipe(process.stdout);
stream.on('end', () => {
  const unexpected = failures.filter((name) => !knownFailures.has(name));
  const expected = failures.filter((name) => knownFailures.has(name));
  for (const name of expected) console.log(`known red, passed over: ${name}`);
  for (const name of unexpected) console.log(`failed: ${name}`);
  process.exitCode = unexpected.length > 0 || passes === 0 ? 1 : 0;
});
