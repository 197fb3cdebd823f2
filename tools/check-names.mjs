// Fails when wire names of the platform occur in packages/ or apps/, except in tests. Only
// platform/ may decode them.
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';

// The platform's deadline header is not listed: our own API has a header of the same name.
const NAMES =
  /[Ee]ndiveferry-(?:attempt-id|expected-instance|instance-|not-executed|prefix-hash|segment|tenant|token-usage|upstream-signature|weight-versions|retention|priority-class)|server-limit|kv-(?:watch|range|key|move|events)\b|stage-(?:run|free)\b|kv_capacity|route_type|target_latency_ms|warmup_left_ms|headroom_mb|handle_ttl_s|api_keys|node_name|control_plane/i;

function listSources(folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) {
      return ['node_modules', 'dist'].includes(entry.name) ? [] : listSources(path);
    }
    return path.endsWith('.ts') && !path.endsWith('.test.ts') ? [path] : [];
  });
}

const found = ['packages', 'apps'].flatMap(listSources).flatMap((path) =>
  readFileSync(path, 'utf8')
    .split('\n')
    .flatMap((line, index) => (NAMES.test(line) ? [`${path}:${index + 1}: ${line.trim()}`] : [])),
);
for (const line of found) console.error(`platform name outside platform/: ${line}`);
process.exitCode = found.length > 0 ? 1 : 0;
