/**
 * A store may come back from a copy that lacks its latest writes, and give their versions out again.
 * Each such return begins a new era. Eras are numbered from 0 upwards.
 */

/** Numbers that can be given out within one era: versions, epochs or fencing tokens. */
const NUMBERS_PER_ERA = 2 ** 36;

/** Highest era with which all numbers are safe integers. */
export const MAX_ERA = 2 ** 17 - 1;

/** Returns whether a number can be given out within an era. */
export function fitsInEra(number: number): boolean {
  return Number.isSafeInteger(number) && number >= 0 && number < NUMBERS_PER_ERA;
}

/**
 * Returns the number that stands for the `number`-th of an era. It is above those of all earlier
 * eras.
 */
export function inEra(era: number, number: number): number {
  return era * NUMBERS_PER_ERA + number;
}

/** Returns the era of a number made by {@link inEra}. */
export function eraOf(number: number): number {
  return Math.floor(number / NUMBERS_PER_ERA);
}

/** Returns the number within its era. */
export function withinEra(number: number): number {
  return number % NUMBERS_PER_ERA;
}
