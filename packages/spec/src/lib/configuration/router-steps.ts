import type { Step } from '../model/explore.js';
import type {
  ConfigurationOptions,
  ConfigurationState,
  RouterState,
} from './configuration-state.js';

type Steps = Step<ConfigurationState>[];

interface View {
  readonly state: ConfigurationState;
  readonly number: number;
  readonly router: RouterState;
}

/** Steps of one router: it polls, hears pushes, restarts and asks its peers. @internal */
export function routerSteps(view: View, options: ConfigurationOptions): Steps {
  return [
    ...poll(view),
    ...push(view),
    ...hearPush(view, options),
    ...restart(view, options),
    ...startFromPeers(view, options),
  ];
}

function take({ state, number, router }: View, text: string, version: number): Steps {
  const isBack = router.isReady && version < router.version;
  const routers = state.routers.with(number, { version, isReady: true });
  const reverted = isBack ? number : state.reverted;
  return [{ name: `router ${number} ${text}`, next: { ...state, routers, reverted } }];
}

/** A router that polls late sees the row as it is now; rows only rise. */
function poll(view: View): Steps {
  const version = view.state.writers.length;
  return take(view, `reads version ${version} from the table`, version);
}

function push({ state, number, router }: View): Steps {
  if (router.version <= state.pushed) return [];
  const next = { ...state, pushed: router.version };
  return [{ name: `router ${number} pushes version ${router.version}`, next }];
}

function hearPush(view: View, options: ConfigurationOptions): Steps {
  const { state, router } = view;
  // Before it is ready, a router counts on no single push: it may be an old one.
  if (!router.isReady && options.mutation !== 'start-from-peers') return [];
  const takesAny = options.mutation === 'gossip-order';
  const versions = Array.from({ length: state.pushed }, (_, index) => index + 1);
  return versions
    .filter((it) => takesAny || it > router.version)
    .flatMap((it) => take(view, `hears a push of version ${it}`, it));
}

/** A restart shows in the incarnation, so that an operator asks the router again. */
function restart({ state, number }: View, options: ConfigurationOptions): Steps {
  const routers = state.routers.with(number, { version: 0, isReady: false });
  const keepsReports = options.mutation === 'report-incarnation';
  const operators = state.operators.map((it) =>
    keepsReports ? it : { ...it, reports: it.reports.with(number, false) },
  );
  return [{ name: `router ${number} restarts`, next: { ...state, routers, operators } }];
}

/** Without the table, a router starts with the highest version among its ready peers. */
function startFromPeers(view: View, options: ConfigurationOptions): Steps {
  const { state, number, router } = view;
  if (router.isReady || options.mutation === 'start-from-peers') return [];
  const peers = state.routers.filter((it, index) => index !== number && it.isReady);
  if (peers.length === 0) return [];
  const version = Math.max(...peers.map((it) => it.version));
  return take(view, `starts with version ${version} of its peers`, version);
}
