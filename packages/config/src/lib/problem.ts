import type * as v from 'valibot';

/** One problem in settings, a configuration or another input. */
export interface Problem {
  /** Path of the value, such as `services[0].rules[2].path`; empty for the whole input. */
  readonly path: string;
  /** Line in the text, counted from 1; `undefined` when unknown. */
  readonly line?: number | undefined;
  /** Description of the problem and of the expected value. */
  readonly message: string;
}

/** Formats keys as a path, such as `listen.callers` or `rules[2].path`. @internal */
export function formatPath(keys: readonly (string | number)[]): string {
  return keys.reduce<string>((path, key) => {
    if (typeof key === 'number') return `${path}[${key}]`;
    return path === '' ? key : `${path}.${key}`;
  }, '');
}

/** Returns the keys of the path to an issue. @internal */
export function keysOf(issue: v.BaseIssue<unknown>): (string | number)[] {
  const items = issue.path ?? [];
  return items.map((item) => (typeof item.key === 'number' ? item.key : String(item.key)));
}

function isMissing(issue: v.BaseIssue<unknown>): boolean {
  return issue.kind === 'schema' && issue.input === undefined;
}

/** Returns the message of an issue. @internal */
export function messageOf(issue: v.BaseIssue<unknown>): string {
  if (isMissing(issue)) return 'is missing';
  return issue.message;
}

/** Converts the issues of a schema to problems. */
export function problemsOf(issues: readonly v.BaseIssue<unknown>[]): Problem[] {
  return issues.map((issue) => ({
    path: formatPath(keysOf(issue)),
    message: messageOf(issue),
  }));
}

/** Formats a problem as one line. */
export function formatProblem(problem: Problem): string {
  const place = problem.line === undefined ? '' : `line ${problem.line}: `;
  const path = problem.path === '' ? '' : `${problem.path}: `;
  return place + path + problem.message;
}
