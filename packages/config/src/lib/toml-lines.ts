/** Index of the lines of tables and settings in a TOML text. @internal */
export interface TomlLines {
  /**
   * Returns the line of a setting, counted from 1, or of its nearest enclosing table if the setting
   * is missing; `undefined` when the text has neither.
   */
  lineOf(keys: readonly (string | number)[]): number | undefined;
}

const TABLE_HEADER = /^\s*\[+\s*([^\]]+?)\s*\]+/;
const ASSIGNMENT = /^\s*((?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')(?:\s*\.\s*[A-Za-z0-9_-]+)*)\s*=/;

function normalize(dotted: string): string {
  return dotted
    .split('.')
    .map((part) => part.trim().replace(/^(["'])(.*)\1$/, '$2'))
    .join('.');
}

function indexLines(text: string): Map<string, number> {
  const lines = new Map<string, number>();
  let table = '';
  for (const [index, line] of text.split('\n').entries()) {
    const header = TABLE_HEADER.exec(line)?.[1];
    if (header !== undefined) table = normalize(header);
    const name = ASSIGNMENT.exec(line)?.[1];
    const path = name === undefined ? table : joinPath(table, normalize(name));
    if (path !== '' && !lines.has(path)) lines.set(path, index + 1);
  }
  return lines;
}

function joinPath(table: string, name: string): string {
  return table === '' ? name : `${table}.${name}`;
}

/** Indexes the lines of a TOML text by the names of tables and settings. @internal */
export function createTomlLines(text: string): TomlLines {
  const lines = indexLines(text);
  return {
    lineOf(keys) {
      for (let length = keys.length; length > 0; length -= 1) {
        const line = lines.get(keys.slice(0, length).join('.'));
        if (line !== undefined) return line;
      }
      return undefined;
    },
  };
}
