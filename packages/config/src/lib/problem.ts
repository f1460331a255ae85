import type * as v from 'valibot';

/** One mistake in something that a person wrote. */
export interface Problem {
  /** Where it is, such as `listen.callers` or `services[0].rules[2].path`; empty for the whole. */
  readonly path: string;
  /** Line in the text, counted from 1, when it is known. */
  readonly line?: number | undefined;
  /** What is wrong and what is expected. */
  readonly message: string;
}

/** Renders a path the way that a person would write it. @internal */
export function formatPath(keys: readonly (string | number)[]): string {
  return keys.reduce<string>((path, key) => {
    if (typeof key === 'number') return `${path}[${key}]`;
    return path === '' ? key : `${path}.${key}`;
  }, '');
}

/** Returns the keys that lead to an issue. @internal */
export function keysOf(issue: v.BaseIssue<unknown>): (string | number)[] {
  const items = issue.path ?? [];
  return items.map((item) => (typeof item.key === 'number' ? item.key : String(item.key)));
}

function isMissing(issue: v.BaseIssue<unknown>): boolean {
  return issue.kind === 'schema' && issue.input === undefined;
}

/** Says in words what an issue complains about. @internal */
export function messageOf(issue: v.BaseIssue<unknown>): string {
  if (isMissing(issue)) return 'is missing';
  return issue.message;
}

/** Turns the issues of a schema into problems. */
export function problemsOf(issues: readonly v.BaseIssue<unknown>[]): Problem[] {
  return issues.map((issue) => ({
    path: formatPath(keysOf(issue)),
    message: messageOf(issue),
  }));
}

/** Renders a problem on one line. */
export function formatProblem(problem: Problem): string {
  const place = problem.line === undefined ? '' : `line ${problem.line}: `;
  const path = problem.path === '' ? '' : `${problem.path}: `;
  return place + path + problem.message;
}
