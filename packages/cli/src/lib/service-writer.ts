import { isDeepStrictEqual } from 'node:util';

import {
  type PutService,
  RESULT_CODES,
  type ServiceConfig,
  type ServiceDocument,
} from '@boragepoint/config';
import { type Result, err, ok } from 'neverthrow';

import { CliError, EXIT_CODES } from './cli-error.js';
import type { OperatorClient } from './operator-client.js';

/** A service whose stored configuration equals the submitted one. */
export interface WrittenService {
  readonly name: string;
  readonly version: number;
  /** False if the configuration table already contained this configuration. */
  readonly changed: boolean;
}

/** Reads a service's document; returns `undefined` if there is no such service. @internal */
export async function readDocument(
  client: OperatorClient,
  name: string,
): Promise<Result<ServiceDocument | undefined, CliError>> {
  const document = await client.getService(name);
  if (document.isOk()) return document;
  const code = document.error.body?.code;
  const isAbsent = code === RESULT_CODES.unknownService || code === RESULT_CODES.notFound;
  return isAbsent ? ok(undefined) : err(document.error);
}

function hasConfig(document: ServiceDocument | undefined, config: ServiceConfig): boolean {
  return document !== undefined && isDeepStrictEqual(document.config, config);
}

function conflictError(put: PutService, error: CliError): CliError {
  const { name } = put.config;
  const { currentVersion, writer } = error.body?.details ?? {};
  const current = currentVersion === undefined ? 'a newer version' : `version ${currentVersion}`;
  const message =
    `conflict: ${name} was version ${put.expectedVersion} when it was read, ` +
    `but ${current} was written by ${writer ?? 'another operator'}. ` +
    `Your configuration of ${name} was not written. Run 'boragectl get ${name}' and ` +
    `'boragectl diff FILE', then apply again`;
  return new CliError(EXIT_CODES.failed, message, error.body);
}

/**
 * Writes a service by compare-and-set. After a failed write, reads the document back: if the table
 * contains the submitted configuration, the write took effect and only its answer was lost.
 * @internal
 */
export async function writeService(
  client: OperatorClient,
  put: PutService,
): Promise<Result<WrittenService, CliError>> {
  const { name } = put.config;
  const written = await client.putService(put);
  if (written.isOk()) return ok({ name, version: written.value.version, changed: true });
  const document = await readDocument(client, name);
  if (document.isOk() && document.value !== undefined && hasConfig(document.value, put.config)) {
    return ok({ name, version: document.value.version, changed: true });
  }
  const isConflict = written.error.body?.code === RESULT_CODES.versionConflict;
  return err(isConflict ? conflictError(put, written.error) : written.error);
}

/** Returns the unchanged service if the table already contains this configuration. @internal */
export function alreadyWritten(
  document: ServiceDocument | undefined,
  config: ServiceConfig,
): WrittenService | undefined {
  if (document === undefined || !hasConfig(document, config)) return undefined;
  return { name: config.name, version: document.version, changed: false };
}

/**
 * Returns a warning for each drain that a new configuration ends and each pin that it removes.
 * Removing a draining backend server gives no warning. @internal
 */
export function reversalWarnings(current: ServiceConfig, next: ServiceConfig): string[] {
  const isInUse = (id: string) => next.backendServers.some((it) => it.id === id && !it.draining);
  const drains = current.backendServers
    .filter((it) => it.draining && isInUse(it.id))
    .map((it) => `this ends the drain of ${it.id}`);
  const pinned = new Set(next.pins.map((it) => it.key));
  const pins = current.pins
    .filter((it) => !pinned.has(it.key))
    .map((it) => `this removes the pin of the key ${it.key} of ${next.name}`);
  return [...drains, ...pins];
}
