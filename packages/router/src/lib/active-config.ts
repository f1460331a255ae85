import {
  type FleetPlatform,
  type RowSource,
  type RowWatch,
  type RowWatcher,
  type UnusableEntry,
  type WatchOutage,
  createRowWatch,
} from '@boragepoint/platform';

import type { Evacuations } from './evacuations.js';
import { type RouteTable, createRouteTable } from './route-table.js';
import type { RouterLog } from './router-log.js';

/** Dependencies of the active configuration. */
export interface ActiveConfigOptions {
  readonly platform: Pick<
    FleetPlatform,
    'store' | 'configTable' | 'decodeConfig' | 'decodeEvacuation'
  >;
  /** Kept up to date with the rows of the configuration's table. */
  readonly evacuations: Evacuations;
  /** Source of rows while the store does not answer. */
  readonly fallback: RowSource;
  readonly log: Pick<RouterLog, 'info' | 'warn'>;
  /** Called with each configuration that can't be used; the one in force stays. */
  onUnusable(entry: UnusableEntry): void;
  /** Called with the routes of each new version. */
  onChange(table: RouteTable): void;
}

/** The newest configuration that this router knows. */
export interface ActiveConfig {
  /** `undefined` before the first one. */
  table(): RouteTable | undefined;
  readonly watch: RowWatch;
}

/** Log fields that describe a lost watch of the store. */
export function watchOutageFields({ tries, forMs, lastError }: WatchOutage) {
  return { tries, forMs: Math.round(forMs), lastReason: lastError.message };
}

/**
 * Creates the active configuration, which follows the store and never goes back to an older
 * version.
 */
export function createActiveConfig(options: ActiveConfigOptions): ActiveConfig {
  const { platform, evacuations, fallback, log } = options;
  let table: RouteTable | undefined;

  function apply(next: RouteTable): void {
    const { version, routes, services } = next.cfg;
    if (table && version <= table.cfg.version) return;
    table = next;
    options.onChange(next);
    log.info('configuration in force', {
      version,
      routes: routes.length,
      services: services.length,
    });
  }

  const watcher: RowWatcher = {
    onReturn() {
      evacuations.noteReturn();
    },
    onSnapshot({ rows }) {
      // Before the configuration, so that no request is forwarded without regard to evacuations.
      evacuations.replaceAll(rows.flatMap((it) => platform.decodeEvacuation(it) ?? []));
      for (const row of rows) watcher.onChange(row);
    },
    onChange(row) {
      const zone = platform.decodeEvacuation(row);
      if (zone !== undefined) {
        evacuations.begin(zone);
        return;
      }
      platform.decodeConfig(row).match(
        (cfg) => {
          if (cfg) apply(createRouteTable(cfg, table));
        },
        (reason) => {
          options.onUnusable({ source: platform.configTable, key: row.key, reason });
        },
      );
    },
    onRemoval(key) {
      const zone = platform.decodeEvacuation({ key });
      if (zone !== undefined) evacuations.end(zone);
    },
    onGivenUp(err) {
      log.info('configuration poll given up', { reason: err.message });
    },
    onLost(err) {
      log.warn('configuration watch lost', { reason: err.message });
    },
    onRecovered(outage) {
      log.info('configuration watch regained', watchOutageFields(outage));
    },
  };

  const { store, configTable } = platform;
  return {
    table: () => table,
    watch: createRowWatch({ store, table: configTable, watcher, fallback }),
  };
}
