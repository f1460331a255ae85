import { readFile } from 'node:fs/promises';

import { parseIpEndpoint } from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';

import type { RouterAccess } from './api-transport.js';
import { type CliError, usageError } from './cli-error.js';
import { type Options, textOption, textOptions } from './command.js';
import type { Environment } from './environment.js';

const ROUTERS_VARIABLE = 'BORAGECTL_ROUTERS';
const TOKEN_FILE_VARIABLE = 'BORAGECTL_TOKEN_FILE';

/** Returns the base URL for an option's value; adds `http://` to a bare IP address and port. */
function toUrl(text: string): string {
  return parseIpEndpoint(text) === undefined ? text : `http://${text}`;
}

function isHttpUrl(text: string): boolean {
  return URL.canParse(text) && /^https?:$/.test(new URL(text).protocol);
}

function readUrls(environment: Environment, options: Options): Result<string[], CliError> {
  const given = textOptions(options, 'router');
  const fallback = environment.variables[ROUTERS_VARIABLE]?.split(',').filter((it) => it !== '');
  const urls = (given.length > 0 ? given : (fallback ?? [])).map(toUrl);
  if (urls.length === 0) {
    return err(usageError(`no router is given; use --router URL or ${ROUTERS_VARIABLE}`));
  }
  const invalid = urls.find((it) => !isHttpUrl(it));
  if (invalid !== undefined) {
    return err(
      usageError(
        `'${invalid}' is not a router address; use one such as 10.0.0.1:8081 or http://10.0.0.1:8081`,
      ),
    );
  }
  return ok(urls);
}

async function readToken(
  environment: Environment,
  options: Options,
): Promise<Result<string, CliError>> {
  const file = textOption(options, 'tokenFile') ?? environment.variables[TOKEN_FILE_VARIABLE];
  if (file === undefined) {
    return err(
      usageError(`no token file is given; use --token-file FILE or ${TOKEN_FILE_VARIABLE}`),
    );
  }
  try {
    const token = (await readFile(file, 'utf8')).trim();
    // The token is sent in the Authorization header, so only visible ASCII characters are accepted.
    const isValidToken = /^[\x21-\x7e]+$/.test(token);
    return isValidToken
      ? ok(token)
      : err(
          usageError(`${file} must contain one token of visible ASCII characters without spaces`),
        );
  } catch (cause) {
    const reason = cause instanceof Error ? cause.message : 'the file cannot be opened';
    return err(usageError(`cannot read the token: ${reason}`));
  }
}

/** Reads the routers' addresses and the token from options or environment variables. @internal */
export async function readRouterAccess(
  environment: Environment,
  options: Options,
): Promise<Result<RouterAccess, CliError>> {
  const urls = readUrls(environment, options);
  if (urls.isErr()) return err(urls.error);
  const token = await readToken(environment, options);
  return token.map((it) => ({ urls: urls.value, token: it }));
}
