import { type Problem, formatProblem } from './problem.js';

/** A configuration that can't be used; `problems` lists every mistake that was found. */
export class ConfigurationError extends Error {
  override readonly name = 'ConfigurationError';

  constructor(readonly problems: readonly Problem[]) {
    super(problems.map(formatProblem).join('\n'));
  }
}
