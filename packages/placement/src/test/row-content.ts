/** Returns the content of a placement without ranges, for writes of the row. */
export const contentOf = (version: number) => ({
  version,
  change: 0,
  nextFence: 1,
  services: new Map<string, never>(),
  suspects: [],
  peers: [],
});
