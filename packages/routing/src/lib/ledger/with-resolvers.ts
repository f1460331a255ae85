/** `Promise.withResolvers`, which Node.js 20 lacks. @internal */
export function withResolvers<T>() {
  let resolve!: (value: T) => void;
  const promise = new Promise<T>((res) => {
    resolve = res;
  });
  return { promise, resolve };
}
