import { type Problem, formatProblem } from './problem.js';

/** Error of an invalid configuration; `problems` lists all problems found. */
export class ConfigurationError extends Error {
  override readonly name = 'ConfigurationError';

  constructor(readonly problems: readonly Problem[]) {
    super(problems.map(formatProblem).join('\n'));
  }
}
