import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { expect } from 'earl';
import { parse } from 'smol-toml';

import { loadSettings } from '../index.js';

const ROOT = new URL('../../../../', import.meta.url);
const FILES = ['llaqta-cusco-1.toml', 'al-karmel-irbid-a-1.toml'];

function readText(path: string): string {
  return readFileSync(new URL(path, ROOT), 'utf8');
}

for (const file of FILES) {
  test(`the example settings ${file} are valid, and each is documented for operators`, () => {
    const text = readText(`examples/settings/${file}`);
    const page = readText('docs/OPERATING.md');
    const names = Object.entries(parse(text)).flatMap(([table, settings]) =>
      Object.keys(settings).map((name) => `${table}.${name}`),
    );
    expect(loadSettings(text).isOk()).toEqual(true);
    expect(names.filter((name) => !page.includes(`| \`${name}\``))).toEqual([]);
    expect(names.length).toEqual(16);
  });
}
