export * from './hot-key-sketch.js';
export * from './load-exchange.js';
export * from './load-meter.js';
export * from './load-summary.js';
export * from './merge-loads.js';
export * from './outlier-detector.js';
