// Exports only the parts of the metrics client prom-client that the router uses. Its own entry point
// also loads the push gateway and the collection from worker processes, with the modules of Node.js
// that they need.
import Counter from 'prom-client/lib/counter.js';
import Gauge from 'prom-client/lib/gauge.js';
import Histogram from 'prom-client/lib/histogram.js';
import Registry from 'prom-client/lib/registry.js';

export { Counter, Gauge, Histogram, Registry };
