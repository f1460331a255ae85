import type { HeaderCodec } from '@boragepoint/platform';

/** Codec of servers whose answers name their request in the header `attempt` and are all signed. */
export const codec: HeaderCodec = {
  readRequest: () => ({ attemptId: undefined, deadlineMs: undefined, key: undefined }),
  readAnswer: (_status, headers) => ({
    attemptId: headers.attempt as string | undefined,
    notRun: false,
    signed: true,
    load: undefined,
    leaving: false,
    backoffMs: undefined,
    limitPerS: undefined,
  }),
  writeRequest: () => ({}),
  writeAnswer: () => ({}),
};
