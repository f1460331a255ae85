import * as v from 'valibot';

import { RESULT_CODES, type ResultCode, type ResultName } from './result-codes.js';

const codes = new Set<number>(Object.values(RESULT_CODES));

const resultCodeSchema = v.pipe(
  v.number(),
  v.check((code) => codes.has(code), 'must be a known result code'),
  v.transform((code) => code as ResultCode),
);

const problemSchema = v.object({
  path: v.string(),
  line: v.optional(v.number()),
  message: v.string(),
});

/** Machine-readable details of an error. */
export const errorDetailsSchema = v.object({
  /** Problems of the input or the configuration. */
  problems: v.optional(v.array(problemSchema)),
  /** On a conflict: the version in the table. */
  currentVersion: v.optional(v.number()),
  /** On a conflict: the operator who wrote that version. */
  writer: v.optional(v.string()),
});
export type ErrorDetails = v.InferOutput<typeof errorDetailsSchema>;

/** Body of all answers of the operators' API with a status of 400 or above. */
export const errorBodySchema = v.object({
  code: resultCodeSchema,
  name: v.string(),
  message: v.string(),
  details: v.optional(errorDetailsSchema),
});
export type ErrorBody = v.InferOutput<typeof errorBodySchema>;

/** Builds the body of an error answer. */
export function errorBody(name: ResultName, message: string, details?: ErrorDetails): ErrorBody {
  const body = { code: RESULT_CODES[name], name, message };
  return details === undefined ? body : { ...body, details };
}
