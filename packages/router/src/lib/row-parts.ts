import type { RowDelta } from '@boragepoint/platform';
import type { FetchTablePartSchema } from '@boragepoint/protocol';
import type { MessageInitShape } from '@bufbuild/protobuf';

/** Largest piece of a row in one message, in bytes. */
const PIECE_BYTES = 32 * 1_024;

type Part = MessageInitShape<typeof FetchTablePartSchema>;

/**
 * Splits the changes of a table into messages: all its keys first, then each changed row in pieces.
 */
export function* partsOf({ version, keys, changed }: RowDelta): Generator<Part> {
  yield { version: BigInt(version), keys: [...keys] };
  for (const { key, version: rowVersion, value } of changed) {
    for (let start = 0; start === 0 || start < value.length; start += PIECE_BYTES) {
      yield {
        key,
        rowVersion: BigInt(rowVersion),
        piece: value.slice(start, start + PIECE_BYTES),
        endsRow: start + PIECE_BYTES >= value.length,
      };
    }
  }
}
