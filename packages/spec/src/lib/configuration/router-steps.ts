import type { Step } from '../model/explore.js';
import type {
  ConfigurationOptions,
  ConfigurationState,
  RouterState,
} from './configuration-state.js';

type Steps = Step<ConfigurationState>[];

interface RouterView {
  readonly state: ConfigurationState;
  readonly number: number;
  readonly router: RouterState;
}

/**
 * Steps of one router: it polls the table, pushes its version and receives pushes, restarts, and
 * starts with a version of its peers. @internal
 */
export function routerSteps(view: RouterView, options: ConfigurationOptions): Steps {
  return [
    ...poll(view),
    ...push(view),
    ...receivePush(view, options),
    ...restart(view, options),
    ...startFromPeers(view, options),
  ];
}

function putInForce({ state, number, router }: RouterView, text: string, version: number): Steps {
  const isReverting = router.isReady && version < router.version;
  const routers = state.routers.with(number, { version, isReady: true });
  const revertedRouter = isReverting ? number : state.revertedRouter;
  return [{ name: `router ${number} ${text}`, next: { ...state, routers, revertedRouter } }];
}

/** A poll reads the current row; the version of a row never decreases. */
function poll(view: RouterView): Steps {
  const version = view.state.writers.length;
  return putInForce(view, `reads version ${version} from the table`, version);
}

function push({ state, number, router }: RouterView): Steps {
  if (router.version <= state.highestPushed) return [];
  const next = { ...state, highestPushed: router.version };
  return [{ name: `router ${number} pushes version ${router.version}`, next }];
}

function receivePush(view: RouterView, options: ConfigurationOptions): Steps {
  const { state, router } = view;
  // A router that is not ready adopts no single push, since the version may be outdated.
  if (!router.isReady && options.mutation !== 'start-from-peers') return [];
  const acceptsAnyVersion = options.mutation === 'gossip-order';
  const versions = Array.from({ length: state.highestPushed }, (_, index) => index + 1);
  return versions
    .filter((it) => acceptsAnyVersion || it > router.version)
    .flatMap((it) => putInForce(view, `receives a push of version ${it}`, it));
}

/** The restart changes the incarnation of the router, so an operator needs a new report from it. */
function restart({ state, number }: RouterView, options: ConfigurationOptions): Steps {
  const routers = state.routers.with(number, { version: 0, isReady: false });
  const keepsReports = options.mutation === 'report-incarnation';
  const operators = state.operators.map((it) =>
    keepsReports ? it : { ...it, reports: it.reports.with(number, false) },
  );
  return [{ name: `router ${number} restarts`, next: { ...state, routers, operators } }];
}

/** Without the table, a router starts with the highest version of its ready peers. */
function startFromPeers(view: RouterView, options: ConfigurationOptions): Steps {
  const { state, number, router } = view;
  if (router.isReady || options.mutation === 'start-from-peers') return [];
  const peers = state.routers.filter((it, index) => index !== number && it.isReady);
  if (peers.length === 0) return [];
  const version = Math.max(...peers.map((it) => it.version));
  return putInForce(view, `starts with version ${version} of its peers`, version);
}
