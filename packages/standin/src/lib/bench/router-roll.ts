import type { LoadedFleet } from './run-under-load.js';
import { runUnderLoad, total } from './run-under-load.js';
import type { Scenario } from './scenario.js';

const DEFAULT_SECONDS = 25;

/** Replaces each router in turn: a new one is started, then the old one is told to stop. */
async function replaceAll({ fleet }: LoadedFleet) {
  const before = [...fleet.routers];
  const codes: (number | null)[] = [];
  for (const router of before) {
    await fleet.addRouter();
    const { code } = await router.program.stop();
    codes.push(code);
    await fleet.publishInstances();
  }
  return [
    { name: 'routers replaced', value: before.length, atLeast: before.length },
    { name: 'bad exits', value: codes.filter((code) => code !== 0).length, atMost: 0 },
  ];
}

/** Every router is replaced one after another while requests run. */
export const routerRoll: Scenario = {
  name: 'router-roll',
  about: 'requests cut while every router is replaced one after another',
  async run({ seed, seconds }, emit) {
    const span = seconds ?? DEFAULT_SECONDS;
    const { load, probe, figures } = await runUnderLoad(
      { seed, seconds: span, bring: replaceAll },
      emit,
    );
    const cut = [...load.attempts, ...probe.attempts].filter((it) => it.status === 0).length;
    return [
      ...figures,
      { name: 'requests cut', value: cut, atMost: 0 },
      { name: 'requests not run', value: total(load, 'notRun'), atMost: 0 },
    ];
  },
};
