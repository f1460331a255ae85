import type { Program } from '../harness/child-program.js';
import type { LoadedFleet } from './run-under-load.js';
import { runUnderLoad, total } from './run-under-load.js';
import type { Scenario } from './scenario.js';

const DEFAULT_SECONDS = 25;
/**
 * An attempt without an answer that took at least this long counts as timed out: no caller waits
 * less for an answer.
 */
const TIMED_OUT_MS = 2_000;

/** Stops a program and returns its exit code, or `null` if it had to be killed after a timeout. */
async function exitCode(program: Program): Promise<number | null> {
  try {
    return (await program.stop()).code;
  } catch {
    await program.kill();
    return null;
  }
}

/** Replaces the routers one by one: starts a new router, then stops the old one. */
async function replaceAll({ fleet }: LoadedFleet) {
  const before = [...fleet.routers];
  const codes: (number | null)[] = [];
  for (const router of before) {
    await fleet.addRouter();
    codes.push(await exitCode(router.program));
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
    const loadSeconds = seconds ?? DEFAULT_SECONDS;
    const { load, probe, figures } = await runUnderLoad(
      { seed, seconds: loadSeconds, act: replaceAll },
      emit,
    );
    const cut = [...load.attempts, ...probe.attempts].filter((it) => it.status === 0);
    const timedOut = cut.filter((it) => it.latencyMs >= TIMED_OUT_MS).length;
    emit('attempts without an answer', { 'at once': cut.length - timedOut, 'timed out': timedOut });
    return [
      ...figures,
      { name: 'requests cut or not accepted', value: cut.length, atMost: 0 },
      { name: 'requests not run', value: total(load, 'notRun'), atMost: 0 },
    ];
  },
};
