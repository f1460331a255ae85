/** The parts of the process that commands use; tests substitute their own. */
export interface Environment {
  readonly variables: Readonly<Record<string, string | undefined>>;
  /** Receives results. */
  readonly stdout: NodeJS.WritableStream;
  /** Receives messages for the operator. */
  readonly stderr: NodeJS.WritableStream;
  readStandardInput(): Promise<string>;
}

async function readAll(stream: NodeJS.ReadableStream): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of stream) chunks.push(Buffer.from(chunk));
  return Buffer.concat(chunks).toString('utf8');
}

/** Returns the environment of this process. */
export function processEnvironment(): Environment {
  return {
    variables: process.env,
    stdout: process.stdout,
    stderr: process.stderr,
    readStandardInput: () => readAll(process.stdin),
  };
}
