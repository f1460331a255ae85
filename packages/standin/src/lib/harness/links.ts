import type { Listener } from '../listen.js';
import { serveInstanceView } from './instance-view.js';
import { createLink, type Link, type LinkState } from './link.js';

/** Name of the platform as an end point of links. */
export const PLATFORM = 'platform';

/** Addresses through which one router reaches the platform. */
export interface PlatformAddresses {
  readonly table: string;
  readonly instances: string;
}

/** Links from each router to its peers and to the platform. */
export interface Links extends AsyncDisposable {
  /**
   * Adds the links of a router and returns its addresses of the platform.
   *
   * @param peers Address of the router's listener for peers.
   */
  add(id: string, peers: string): Promise<PlatformAddresses>;
  /** Sets the state of every link from or to a process. */
  setProcessLinks(id: string, state: LinkState): void;
  /** Sets the state of the links between two processes, in both directions. */
  setLinksBetween(a: string, b: string, state: LinkState): void;
  /** Delays traffic between two processes, in milliseconds for each direction. */
  delayBetween(a: string, b: string, ms: number): void;
}

/** Creates links between routers and a platform; with `direct`, connections use no links. */
export function createLinks(platformAddress: string, direct: boolean): Links {
  const links: Link[] = [];
  const views: Listener[] = [];
  const routers = new Map<string, string>();

  function linksBetween(a: string, b: string): Link[] {
    return links.filter((it) => [a, b].includes(it.from) && [a, b].includes(it.to));
  }

  async function addLink(from: string, to: string, target: string): Promise<Link> {
    const link = await createLink(from, to, target);
    links.push(link);
    return link;
  }

  async function addPeerLinks(id: string, peers: string): Promise<void> {
    for (const [other, address] of routers) {
      await addLink(id, other, address);
      await addLink(other, id, peers);
    }
    routers.set(id, peers);
  }

  function peerAddress(from: string, to: string, address: string): string {
    return links.find((it) => it.from === from && it.to === to)?.address ?? address;
  }

  return {
    async add(id, peers) {
      if (direct) return { table: platformAddress, instances: platformAddress };
      await addPeerLinks(id, peers);
      const platform = await addLink(id, PLATFORM, platformAddress);
      const view = await serveInstanceView(platform.address, (to, address) =>
        peerAddress(id, to, address),
      );
      views.push(view);
      return { table: platform.address, instances: view.address };
    },
    setProcessLinks(id, state) {
      for (const link of links) {
        if (link.from === id || link.to === id) link.set(state);
      }
    },
    setLinksBetween(a, b, state) {
      for (const link of linksBetween(a, b)) link.set(state);
    },
    delayBetween(a, b, ms) {
      for (const link of linksBetween(a, b)) link.delay(ms);
    },
    async [Symbol.asyncDispose]() {
      await Promise.all([...links, ...views].map((it) => it[Symbol.asyncDispose]()));
    },
  };
}
