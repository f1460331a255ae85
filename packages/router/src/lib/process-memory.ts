import { totalmem } from 'node:os';
import { constrainedMemory } from 'node:process';
import { getHeapStatistics } from 'node:v8';

const MEGABYTE = 1_000_000;

/** Sources of a process's memory, in bytes. */
export interface MemorySources {
  /** Limit of the heap, from the command line or by default. */
  readonly heapLimit: number;
  /** Limit of the control group; 0 or more than the machine has if there is none. */
  readonly constrained: number;
  readonly machine: number;
}

function readSources(): MemorySources {
  return {
    heapLimit: getHeapStatistics().heap_size_limit,
    constrained: constrainedMemory(),
    machine: totalmem(),
  };
}

/** Returns the memory that a process may use where its settings name none, in MB. */
export function processMemoryMb(sources: MemorySources = readSources()): number {
  const { heapLimit, constrained, machine } = sources;
  const limits = [heapLimit, constrained, machine].filter((it) => it > 0);
  return Math.floor(Math.min(...limits) / MEGABYTE);
}
