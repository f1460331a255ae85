import { INSTANCES_PATH, instanceRecordSchema } from '@boragepoint/platform';
import { Hono } from 'hono';
import { request } from 'undici';
import * as v from 'valibot';

import { listen, type Listener, type NodeEnv } from '../listen.js';

const instancesSchema = v.array(instanceRecordSchema);
const HTTP_OK = 200;
const HTTP_SERVICE_UNAVAILABLE = 503;

/**
 * Serves the platform's instance list for one router: each peer's address is replaced by the
 * address of that router's link to it.
 */
export async function serveInstanceView(
  platformAddress: string,
  addressOf: (id: string, address: string) => string,
): Promise<Listener> {
  const app = new Hono<NodeEnv>();
  app.get(INSTANCES_PATH, async (c) => {
    try {
      const res = await request(`http://${platformAddress}${INSTANCES_PATH}`);
      if (res.statusCode !== HTTP_OK) throw new Error(`status ${res.statusCode}`);
      const instances = v.parse(instancesSchema, await res.body.json());
      return c.json(instances.map((it) => ({ ...it, address: addressOf(it.id, it.address) })));
    } catch {
      return c.body(null, HTTP_SERVICE_UNAVAILABLE);
    }
  });
  return await listen(app, 0);
}
