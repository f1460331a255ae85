/** Share of a server's connections left for lease renewals, health checks and routers that join. */
const RESERVED_SHARE = 1 / 16;

/**
 * Connections that one of `liveRouters` routers may open to a backend server. All routers together
 * stay below the server's limit, except that each may always open one.
 */
export function connectionShare(connections: number, liveRouters: number): number {
  const usable = connections * (1 - RESERVED_SHARE);
  return Math.max(1, Math.floor(usable / Math.max(1, liveRouters)));
}
