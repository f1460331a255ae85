/** A linear fit to measured points, with one slope for each input. */
export interface Fit {
  readonly constant: number;
  readonly slopes: readonly number[];
  /** Root mean square of the residuals. */
  readonly residual: number;
  /** Share of the variance that the fit explains, from 0 to 1 (R squared). */
  readonly explained: number;
  readonly points: number;
}

/** One measured point. */
export interface FitPoint {
  readonly inputs: readonly number[];
  readonly output: number;
}

/** A pivot at or below this share of its column's original diagonal entry counts as zero. */
const MIN_PIVOT_SHARE = 1e-9;

/** Fits by least squares. An input that never varies, or depends on earlier ones, gets slope 0. */
export function fitLine(points: readonly FitPoint[]): Fit {
  const rows = points.map(({ inputs }) => [1, ...inputs]);
  const size = rows[0]?.length ?? 1;
  const indexes = Array.from({ length: size }, (_, index) => index);
  const matrix = indexes.map((i) => [
    ...indexes.map((j) => sum(rows.map((row) => (row[i] ?? 0) * (row[j] ?? 0)))),
    sum(rows.map((row, at) => (row[i] ?? 0) * (points[at]?.output ?? 0))),
  ]);
  const [constant = 0, ...slopes] = solve(matrix);
  const errors = points.map(({ inputs, output }) => {
    const fitted = inputs.reduce((total, it, index) => total + it * (slopes[index] ?? 0), constant);
    return output - fitted;
  });
  const mean = sum(points.map((it) => it.output)) / points.length;
  const squaredDeviations = sum(points.map((it) => (it.output - mean) ** 2));
  const squaredErrors = sum(errors.map((it) => it ** 2));
  return {
    constant,
    slopes,
    residual: Math.sqrt(squaredErrors / points.length),
    explained: squaredDeviations === 0 ? 1 : 1 - squaredErrors / squaredDeviations,
    points: points.length,
  };
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, it) => total + it, 0);
}

/** Solves linear equations by elimination; the last column is the right-hand side. */
function solve(matrix: number[][]): number[] {
  const size = matrix.length;
  const scale = matrix.map((row, index) => Math.abs(row[index] ?? 0));
  for (let column = 0; column < size; column += 1) {
    const pivot = matrix[column] ?? [];
    const isSingular = Math.abs(pivot[column] ?? 0) <= MIN_PIVOT_SHARE * (scale[column] ?? 1);
    if (isSingular) {
      matrix.forEach((row) => (row[column] = 0));
      pivot.fill(0);
      pivot[column] = 1;
    }
    for (const row of matrix) if (row !== pivot) subtract(row, pivot, column);
  }
  return matrix.map((row, index) => (row[size] ?? 0) / (row[index] ?? 1));
}

function subtract(row: number[], pivot: readonly number[], column: number): void {
  const factor = (row[column] ?? 0) / (pivot[column] ?? 1);
  pivot.forEach((value, index) => (row[index] = (row[index] ?? 0) - factor * value));
}
