import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { expect } from 'earl';

import { formatConfiguration, parseConfiguration } from '../index.js';

const PAGE = readFileSync(new URL('../../FORMAT.md', import.meta.url), 'utf8');

function namesIn(value: unknown): string[] {
  if (typeof value !== 'object' || value === null) return [];
  const inner = Object.values(value).flatMap(namesIn);
  return Array.isArray(value) ? inner : [...Object.keys(value), ...inner];
}

test('the example of the documented format is valid and contains every field', () => {
  const example = /```json\n(.*?)```/s.exec(PAGE)?.[1] ?? '';
  const { services } = parseConfiguration(example)._unsafeUnwrap();
  const printed = formatConfiguration(services)._unsafeUnwrap();
  const { expectedVersions, ...document } = JSON.parse(example) as Record<string, unknown>;
  expect(JSON.parse(printed)).toEqual(document);
  expect(expectedVersions).toEqual({ caja: 7 });
});

test('every field of the documented example is described', () => {
  const example = /```json\n(.*?)```/s.exec(PAGE)?.[1] ?? '{}';
  const prose = PAGE.replace(example, '');
  const names = namesIn(JSON.parse(example)).filter((name) => name !== 'caja');
  const isDescribed = (name: string) =>
    prose.includes(`\`${name}\``) || prose.includes(`"${name}"`);
  expect(names.filter((name) => !isDescribed(name))).toEqual([]);
});
