import { existsSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

function listIn(folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return entry.name === 'node_modules' ? [] : listIn(path);
    return entry.name.endsWith('.test.js') ? [path] : [];
  });
}

/** Lists all compiled test files. */
export function listTests() {
  return ['packages', 'apps']
    .flatMap((folder) => readdirSync(folder).map((name) => join(folder, name, 'dist')))
    .concat(join('platform', 'dist'))
    .filter((folder) => existsSync(folder))
    .flatMap(listIn);
}
