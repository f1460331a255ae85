import { test } from 'node:test';

import { expect } from 'earl';

import { serviceBurns } from '../lib/service-burn.js';

const metricsText = (ok: number, late: number) => `# HELP boragepoint_requests_total Requests.
# TYPE boragepoint_requests_total counter
boragepoint_requests_total{service="s",route="r",outcome="ok"} ${ok}
boragepoint_requests_total{service="s",route="r",outcome="overloaded"} 3
boragepoint_requests_total{service="s",route="r",outcome="outcomeUnknown"} 1
boragepoint_requests_total{service="s",route="r",outcome="caller-gone"} 50
boragepoint_requests_total{service="s",route="r",outcome="badRequest"} 7
# HELP boragepoint_requests_late_total Late.
# TYPE boragepoint_requests_late_total counter
boragepoint_requests_late_total{service="s"} ${late}
`;

test('requests of all routers are added up by service', () => {
  const [burn] = serviceBurns([metricsText(90, 4), metricsText(96, 2)], 0.9);
  expect(burn?.requests).toEqual(194);
  expect(burn?.inTime).toEqual(180);
  expect([burn?.late, burn?.refused, burn?.failed]).toEqual([6, 6, 2]);
});

test('the burn is the ratio of bad requests to those that the target allows', () => {
  const [burn] = serviceBurns([metricsText(96, 6)], 0.9);
  expect(burn?.burn.toFixed(6)).toEqual('1.000000');
});

test('metrics without requests give no services', () => {
  expect(serviceBurns(['# nothing\n'], 0.99)).toEqual([]);
});
