import type { BurnPoint } from '@boragepoint/config';

import { formatBurnRate } from './burn-text.js';
import { formatTime } from './time-argument.js';

// Sizes, margins and distances are in SVG units.
const WIDTH = 720;
const HEIGHT = 180;
const LEFT_MARGIN = 48;
const RIGHT_MARGIN = 8;
const TOP_MARGIN = 12;
const BOTTOM_MARGIN = 28;
const PLOT_WIDTH = WIDTH - LEFT_MARGIN - RIGHT_MARGIN;
const PLOT_HEIGHT = HEIGHT - TOP_MARGIN - BOTTOM_MARGIN;
/** Burn rate that spends the error budget exactly; the vertical axis always includes it. */
const BUDGET_RATE = 1;
/** Ratio of the rate at the top of the vertical axis to the highest rate shown. */
const HEADROOM_FACTOR = 1.1;
/** Minimum distance between two axis labels, in SVG units. */
const LABEL_HEIGHT = 14;

/** Maps times and burn rates to SVG coordinates. */
interface Scale {
  x(atMs: number): number;
  y(burnRate: number): number;
  /** Burn rate at the top of the vertical axis. */
  readonly topRate: number;
}

function createScale(points: readonly BurnPoint[]): Scale {
  const times = points.map((it) => it.atMs);
  const startMs = times.reduce((a, b) => Math.min(a, b), Infinity);
  const endMs = times.reduce((a, b) => Math.max(a, b), -Infinity);
  const spanMs = Math.max(1, endMs - startMs);
  const topRate =
    points.reduce((top, it) => Math.max(top, it.burnRate), BUDGET_RATE) * HEADROOM_FACTOR;
  return {
    x: (atMs) => LEFT_MARGIN + ((atMs - startMs) / spanMs) * PLOT_WIDTH,
    y: (burnRate) => TOP_MARGIN + (1 - burnRate / topRate) * PLOT_HEIGHT,
    topRate,
  };
}

function textLabel(x: number, y: number, anchor: string, text: string): string {
  return `<text x="${x}" y="${y}" text-anchor="${anchor}">${text}</text>`;
}

function horizontalLine(y: number, className: string): string {
  return `<line class="${className}" x1="${LEFT_MARGIN}" x2="${WIDTH - RIGHT_MARGIN}" y1="${y}" y2="${y}"/>`;
}

/** Draws one point with its values as a tooltip. */
function pointMarker(position: string, { atMs, burnRate, good, bad }: BurnPoint): string {
  const [x = '', y = ''] = position.split(',');
  const title = `${formatTime(atMs)}: burn rate ${formatBurnRate(burnRate)}, ${good} good, ${bad} bad`;
  return `<circle class="burn" cx="${x}" cy="${y}" r="2.5"><title>${title}</title></circle>`;
}

/** Draws the burn rate over time as an SVG; the budget line is at rate 1. @internal */
export function plotBurn(points: readonly BurnPoint[]): string {
  const first = points[0];
  const last = points.at(-1);
  if (first === undefined || last === undefined) return '<p>No points yet.</p>';
  const scale = createScale(points);
  const round = (coordinate: number) => Number(coordinate.toFixed(1));
  const positions = points.map((it) => `${round(scale.x(it.atMs))},${round(scale.y(it.burnRate))}`);
  const budgetY = round(scale.y(BUDGET_RATE));
  const baseY = HEIGHT - BOTTOM_MARGIN;
  const textGap = 4;
  const hasRoomForBudgetLabel = baseY - budgetY >= LABEL_HEIGHT;
  return [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="Burn rate over time">`,
    horizontalLine(baseY, 'axis'),
    horizontalLine(budgetY, 'budget'),
    textLabel(LEFT_MARGIN - textGap, TOP_MARGIN + textGap, 'end', formatBurnRate(scale.topRate)),
    hasRoomForBudgetLabel
      ? textLabel(LEFT_MARGIN - textGap, budgetY + textGap, 'end', formatBurnRate(BUDGET_RATE))
      : '',
    textLabel(LEFT_MARGIN - textGap, baseY, 'end', '0'),
    textLabel(LEFT_MARGIN, HEIGHT - textGap, 'start', formatTime(first.atMs)),
    textLabel(WIDTH - RIGHT_MARGIN, HEIGHT - textGap, 'end', formatTime(last.atMs)),
    `<polyline class="burn" points="${positions.join(' ')}"/>`,
    ...points.map((it, index) => pointMarker(positions[index] ?? '', it)),
    '</svg>',
  ].join('\n');
}
