/** The record of a run: what was sent, answered and run, with times in milliseconds. */
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

export function createRecord(file) {
  const startedAt = performance.now();
  const lines = [];
  const now = () => Math.round((performance.now() - startedAt) * 10) / 10;
  return {
    now,
    /** Notes an event and returns its time. */
    note(what, fields = {}) {
      const at = now();
      const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
      lines.push(`${at.toFixed(1).padStart(9)} ${what} ${text.join(' ')}`.trimEnd());
      return at;
    },
    save() {
      writeFileSync(file, `${lines.join('\n')}\n`);
    },
  };
}
