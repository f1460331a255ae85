import * as v from 'valibot';

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/;

/** Name of a service, rule, server, availability zone or region. */
export const nameSchema = v.pipe(
  v.string(),
  v.regex(
    NAME_PATTERN,
    'must start with a lower-case letter and hold lower-case letters, digits and hyphens, at most 63',
  ),
);

/** Schema of a whole number from `min` to `max`, inclusive. @internal */
export function wholeNumber(min: number, max: number) {
  return v.pipe(
    v.number(),
    v.integer('must be a whole number'),
    v.minValue(min, `must be at least ${min}`),
    v.maxValue(max, `must be at most ${max}`),
  );
}
