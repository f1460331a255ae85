// Exports only the parts of the HTTP client undici that the router uses. Loading the rest of the
// package would delay the router's start.
import * as api from 'undici/lib/api/index.js';
import buildConnector from 'undici/lib/core/connect.js';
import errors from 'undici/lib/core/errors.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import Pool from 'undici/lib/dispatcher/pool.js';

// undici's own entry point adds its API methods to every dispatcher in the same way.
Object.assign(Dispatcher.prototype, { request: api.request });

export { Client, Pool, buildConnector, errors };
