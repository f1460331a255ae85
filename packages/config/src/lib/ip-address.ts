import { isIP } from 'node:net';

import * as v from 'valibot';

const MAX_PORT = 65_535;

/** An IP address with a port. @internal */
export interface IpEndpoint {
  /** IPv4 or IPv6 address, without brackets. */
  readonly host: string;
  readonly port: number;
}

function unbracket(host: string): string | undefined {
  const isBracketed = host.startsWith('[') && host.endsWith(']');
  const address = isBracketed ? host.slice(1, -1) : host;
  const expectedFamily = isBracketed ? 6 : 4;
  return isIP(address) === expectedFamily ? address : undefined;
}

/** Parses `10.0.0.5:8080` or `[::1]:8080`; returns `undefined` for anything else. */
export function parseIpEndpoint(text: string): IpEndpoint | undefined {
  const colon = text.lastIndexOf(':');
  const host = unbracket(text.slice(0, Math.max(colon, 0)));
  const digits = text.slice(colon + 1);
  const port = /^\d{1,5}$/.test(digits) ? Number(digits) : MAX_PORT + 1;
  if (host === undefined || port > MAX_PORT) return undefined;
  return { host, port };
}

function isEndpoint(text: string, minPort: number): boolean {
  const endpoint = parseIpEndpoint(text);
  return endpoint !== undefined && endpoint.port >= minPort;
}

/**
 * Parses an address that connections can be opened to and URLs can be built from; returns
 * `undefined` for anything else. The one check of addresses that come from elsewhere.
 */
export function parseCallableEndpoint(text: string): IpEndpoint | undefined {
  const endpoint = parseIpEndpoint(text);
  // No URL can hold the zone of an IPv6 address.
  return endpoint && endpoint.port > 0 && !endpoint.host.includes('%') ? endpoint : undefined;
}

/** Whether connections can be opened to an address; see {@link parseCallableEndpoint}. */
export const isCallable = (text: string): boolean => parseCallableEndpoint(text) !== undefined;

/** Schema of an address to connect to; its port is not 0. @internal */
export const ipEndpointSchema = v.pipe(
  v.string(),
  v.check(
    (text) => isEndpoint(text, 1),
    'must be an IP address and a port, such as 10.0.0.5:8080 or [::1]:8080',
  ),
);

/** Schema of an address to listen on; port 0 selects a free port. @internal */
export const listenAddressSchema = v.pipe(
  v.string(),
  v.check(
    (text) => isEndpoint(text, 0),
    'must be an IP address and a port, such as 10.0.0.5:8080 or [::1]:8080',
  ),
);

function isPlainHttpUrl(text: string): boolean {
  const prefix = 'http://';
  if (!text.startsWith(prefix)) return false;
  return isEndpoint(text.slice(prefix.length).replace(/\/$/, ''), 1);
}

/** Schema of the base URL of an HTTP service at an IP address. @internal */
export const ipUrlSchema = v.pipe(
  v.string(),
  v.check(isPlainHttpUrl, 'must be an http URL by IP address, such as http://10.0.0.5:8080'),
);
