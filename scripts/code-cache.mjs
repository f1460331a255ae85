/** File name of the compiled code of a program, for this version of Node.js and this processor. */
export const cacheName = (digest) =>
  `run-router-${digest}-${process.version}-${process.platform}-${process.arch}.cache`;
