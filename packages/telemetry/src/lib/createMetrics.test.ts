import assert from 'node:assert/strict';
import { test } from 'node:test';

import { pipelineIdSchema, rankIdSchema, workspaceIdSchema } from '@endiveferry/base';

import { createMetrics } from './createMetrics.js';

// A counter throws on unknown labels; an exception while recording would cut off the response.
test('only the reason and execution of a failure become labels, not its other fields', async () => {
  const metrics = createMetrics();
  const failure = {
    reason: 'overloaded',
    execution: 'not-run',
    detail: 'the queue is full',
    retryAfterMs: 400,
  } as const;
  metrics.recordRequest({
    pipelineId: pipelineIdSchema.parse('pipeline'),
    rankId: rankIdSchema.parse('rank-1'),
    workspaceId: workspaceIdSchema.parse('workspace'),
    durationMs: 5,
    isAttained: false,
    failure,
  });
  const text = await metrics.format();
  assert.match(
    text,
    /endiveferry_failures_total\{reason="overloaded",execution="not-run",rank="rank-1"\} 1/,
  );
});
