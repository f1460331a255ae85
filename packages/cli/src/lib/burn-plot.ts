import type { BurnPoint } from '@boragepoint/config';

import { formatBurn } from './burn-text.js';
import { formatTime } from './time-argument.js';

const WIDTH = 720;
const HEIGHT = 180;
const LEFT = 48;
const RIGHT = 8;
const TOP = 12;
const BOTTOM = 28;
const PLOT_WIDTH = WIDTH - LEFT - RIGHT;
const PLOT_HEIGHT = HEIGHT - TOP - BOTTOM;
/** Burn rate that spends the error budget exactly; the axis always shows it. */
const BUDGET_RATE = 1;
const HEADROOM = 1.1;
/** Least distance between two labels of the axis. */
const LABEL_HEIGHT = 14;

/** Turns points of the report into places on the plot. */
interface Scale {
  x(atMs: number): number;
  y(burnRate: number): number;
  readonly topRate: number;
}

function createScale(points: readonly BurnPoint[]): Scale {
  const times = points.map((it) => it.atMs);
  const startMs = times.reduce((a, b) => Math.min(a, b), Infinity);
  const endMs = times.reduce((a, b) => Math.max(a, b), -Infinity);
  const spanMs = Math.max(1, endMs - startMs);
  const topRate = points.reduce((top, it) => Math.max(top, it.burnRate), BUDGET_RATE) * HEADROOM;
  return {
    x: (atMs) => LEFT + ((atMs - startMs) / spanMs) * PLOT_WIDTH,
    y: (burnRate) => TOP + (1 - burnRate / topRate) * PLOT_HEIGHT,
    topRate,
  };
}

function label(x: number, y: number, anchor: string, text: string): string {
  return `<text x="${x}" y="${y}" text-anchor="${anchor}">${text}</text>`;
}

function horizontal(y: number, name: string): string {
  return `<line class="${name}" x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${y}" y2="${y}"/>`;
}

/** Marks one point; its title shows when the pointer rests on it. */
function dot(place: string, { atMs, burnRate, good, bad }: BurnPoint): string {
  const [x = '', y = ''] = place.split(',');
  const title = `${formatTime(atMs)}: burn rate ${formatBurn(burnRate)}, ${good} good, ${bad} bad`;
  return `<circle class="burn" cx="${x}" cy="${y}" r="2.5"><title>${title}</title></circle>`;
}

/** Draws the burn rate over time as an SVG; the budget line is at rate 1. @internal */
export function plotBurn(points: readonly BurnPoint[]): string {
  const first = points[0];
  const last = points.at(-1);
  if (first === undefined || last === undefined) return '<p>No points yet.</p>';
  const scale = createScale(points);
  const round = (place: number) => Number(place.toFixed(1));
  const places = points.map((it) => `${round(scale.x(it.atMs))},${round(scale.y(it.burnRate))}`);
  const budgetY = round(scale.y(BUDGET_RATE));
  const baseY = HEIGHT - BOTTOM;
  const textGap = 4;
  const hasRoom = baseY - budgetY >= LABEL_HEIGHT;
  return [
    `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="Burn rate over time">`,
    horizontal(baseY, 'axis'),
    horizontal(budgetY, 'budget'),
    label(LEFT - textGap, TOP + textGap, 'end', formatBurn(scale.topRate)),
    hasRoom ? label(LEFT - textGap, budgetY + textGap, 'end', formatBurn(BUDGET_RATE)) : '',
    label(LEFT - textGap, baseY, 'end', '0'),
    label(LEFT, HEIGHT - textGap, 'start', formatTime(first.atMs)),
    label(WIDTH - RIGHT, HEIGHT - textGap, 'end', formatTime(last.atMs)),
    `<polyline class="burn" points="${places.join(' ')}"/>`,
    ...points.map((it, index) => dot(places[index] ?? '', it)),
    '</svg>',
  ].join('\n');
}
