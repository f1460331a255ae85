import { writeFile } from 'node:fs/promises';

/** Values of one router's settings file; its listeners and the platform are given by address. */
export interface RouterSettings {
  readonly id: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly callers: string;
  readonly operators: string;
  readonly peers: string;
  readonly table: string;
  readonly objects: string;
  readonly instances: string;
  readonly tokenFile: string;
  readonly logLevel: string;
}

const quote = (text: string) => JSON.stringify(text);

/** Writes the settings file of one router as TOML. */
export async function writeRouterSettings(file: string, cfg: RouterSettings): Promise<void> {
  const lines = [
    '[instance]',
    `id = ${quote(cfg.id)}`,
    `availability_zone = ${quote(cfg.availabilityZone)}`,
    `region = ${quote(cfg.region)}`,
    '[listen]',
    `callers = ${quote(cfg.callers)}`,
    `operators = ${quote(cfg.operators)}`,
    `peers = ${quote(cfg.peers)}`,
    '[platform]',
    `table = ${quote(`http://${cfg.table}`)}`,
    `objects = ${quote(`http://${cfg.objects}`)}`,
    `instances = ${quote(`http://${cfg.instances}`)}`,
    '[operators]',
    `token_file = ${quote(cfg.tokenFile)}`,
    '[log]',
    `level = ${quote(cfg.logLevel)}`,
  ];
  await writeFile(file, `${lines.join('\n')}\n`);
}
