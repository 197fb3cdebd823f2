import { workspaceIdSchema } from '@endiveferry/base';

import type { PublishedDocument } from '../RelayConfiguration.js';

/**
 * Creates a configuration for tests, with one workspace and nothing else.
 *
 * @param version - its version
 * @param keys - the API keys of the workspace
 * @returns the document
 * @internal
 */
export function createTestDocument(version: number, keys: string[] = ['key']): PublishedDocument {
  return {
    text: `version ${version}`,
    configuration: {
      version,
      routes: [],
      pools: new Map(),
      workspaces: [{ workspaceId: workspaceIdSchema.parse('small'), keys }],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    },
  };
}
