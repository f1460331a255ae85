/** Share of a server's connections reserved for lease renewals, health checks and new routers. */
const RESERVED_SHARE = 1 / 16;

/**
 * Returns the number of connections that each of `liveRouters` routers may open to a backend
 * server. All routers together stay below the server's limit, except that each may always open one.
 */
export function connectionShare(connections: number, liveRouters: number): number {
  const usable = connections * (1 - RESERVED_SHARE);
  return Math.max(1, Math.floor(usable / Math.max(1, liveRouters)));
}
