import * as v from 'valibot';

/**
 * An object schema that reports every unknown field, where `v.strictObject` stops at the first.
 * @internal
 */
export function exactObject<const E extends v.ObjectEntries>(entries: E) {
  const schema = v.objectWithRest(entries, v.never('unknown field'));
  // Unknown fields are always rejected, so the output has only the declared fields.
  return schema as unknown as v.StrictObjectSchema<E, undefined>;
}
