/** A call to the platform failed or got no usable answer. */
export class PlatformError extends Error {
  override readonly name = 'PlatformError';

  /**
   * @param message Describes the failure.
   * @param mayHaveTakenEffect True if the call is a write that may have taken effect, or may still
   * do so.
   */
  constructor(
    message: string,
    readonly mayHaveTakenEffect: boolean,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
