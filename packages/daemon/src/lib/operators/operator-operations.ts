import type {
  BurnReport,
  DeposeAnswer,
  DeposeRequest,
  DrainRequest,
  EventsAnswer,
  EventsQuery,
  ExplainAnswer,
  KeyQuery,
  MoveAnswer,
  MoveRequest,
  OwnerAnswer,
  PinRequest,
  PutService,
  QuarantineList,
  ReleaseAnswer,
  ReleaseRequest,
  ServiceDocument,
  ServiceList,
  StatusAnswer,
  WrittenVersion,
} from '@boragepoint/config';
import type { Result } from 'neverthrow';

import type { OperatorError } from './operator-error.js';

/** Outcome of one operation. */
export type Outcome<T> = Promise<Result<T, OperatorError>>;

/** Whether the router accepts requests, and why it does not. */
export interface Readiness {
  readonly ready: boolean;
  /** Reasons why the router is not ready; empty when it is ready. */
  readonly reasons: readonly string[];
}

/** Operations of the operators' API. Inputs have been checked against their schemas. */
export interface OperatorOperations {
  /** Tells whether the router accepts requests. */
  readiness(): Readiness;
  /** Lists the services in force on this router. */
  listServices(): Outcome<ServiceList>;
  /** Reads one configuration from the table. Errors: `unknownService`, `storeUnavailable`. */
  getService(name: string): Outcome<ServiceDocument>;
  /**
   * Writes one configuration by compare-and-set. Errors: `versionConflict` with the current version
   * and its writer, `invalidConfiguration` with problems across services, `storeUnavailable`.
   */
  putService(put: PutService): Outcome<WrittenVersion>;
  status(): Outcome<StatusAnswer>;
  /** Errors: `unknownService`. */
  owner(query: KeyQuery): Outcome<OwnerAnswer>;
  /**
   * Errors: `unknownService`, `notFound`, `invalidConfiguration`, `versionConflict`,
   * `storeUnavailable`.
   */
  drain(req: DrainRequest): Outcome<WrittenVersion>;
  /** Errors: `unknownService`, `notFound`, `moveRefused`. */
  move(req: MoveRequest): Outcome<MoveAnswer>;
  /** Errors: `unknownService`, `invalidConfiguration`, `versionConflict`, `storeUnavailable`. */
  pin(req: PinRequest): Outcome<WrittenVersion>;
  /** Errors: `notFound`, `versionConflict`, `storeUnavailable`. */
  depose(req: DeposeRequest): Outcome<DeposeAnswer>;
  /** Errors: `unknownService`. */
  explain(query: KeyQuery): Outcome<ExplainAnswer>;
  events(query: EventsQuery): Outcome<EventsAnswer>;
  listQuarantine(): Outcome<QuarantineList>;
  /** Errors: `notFound`. */
  releaseQuarantine(req: ReleaseRequest): Outcome<ReleaseAnswer>;
  burnReport(): Outcome<BurnReport>;
}
