import { readFile } from 'node:fs/promises';

import { monotonicMs } from '../clock.js';

/** Clock ticks (USER_HZ) per second in `/proc`; 100 on Linux. */
const TICKS_PER_SECOND = 100;
const KIB_PER_MIB = 1_024;
const SECOND_MS = 1_000;
/** Indexes of the fields that follow the program's name in `/proc/PID/stat`. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Resource usage of a process since it started. */
export interface UsageSample {
  /** Monotonic time of the sample, in milliseconds. */
  readonly at: number;
  readonly cpuSeconds: number;
  readonly residentMiB: number;
  /** Bytes that the process has read, including from sockets. */
  readonly readBytes: number;
  readonly writtenBytes: number;
}

/** Resource usage of a process over a measured span; the memory is that at its end. */
export interface UsageRate {
  readonly cpuPercent: number;
  readonly residentMiB: number;
  readonly readBytesPerSecond: number;
  readonly writtenBytesPerSecond: number;
}

function numberAfter(text: string, label: string): number {
  const line = text.split('\n').find((it) => it.startsWith(label)) ?? '';
  return Number.parseInt(line.slice(label.length), 10);
}

/** Reads the resource usage of a process from the `/proc` file system. */
export async function sampleUsage(pid: number): Promise<UsageSample> {
  const at = monotonicMs();
  const files = ['stat', 'status', 'io'].map((it) => readFile(`/proc/${pid}/${it}`, 'utf8'));
  const [stat = '', status = '', io = ''] = await Promise.all(files);
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return {
    at,
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentMiB: numberAfter(status, 'VmRSS:') / KIB_PER_MIB,
    readBytes: numberAfter(io, 'rchar:'),
    writtenBytes: numberAfter(io, 'wchar:'),
  };
}

/** Computes the rates between two samples of one process. */
export function usageRate(from: UsageSample, to: UsageSample): UsageRate {
  const seconds = (to.at - from.at) / SECOND_MS;
  return {
    cpuPercent: ((to.cpuSeconds - from.cpuSeconds) / seconds) * 100,
    residentMiB: to.residentMiB,
    readBytesPerSecond: (to.readBytes - from.readBytes) / seconds,
    writtenBytesPerSecond: (to.writtenBytes - from.writtenBytes) / seconds,
  };
}
