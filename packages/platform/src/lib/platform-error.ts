/** A call to the platform that got no usable answer. */
export class PlatformError extends Error {
  override readonly name = 'PlatformError';

  /**
   * @param message What happened, in words.
   * @param mayHaveTakenEffect True when a write may have taken effect although its answer is lost.
   */
  constructor(
    message: string,
    readonly mayHaveTakenEffect: boolean,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
