import type { PoolKind } from '@endiveferry/settings';
import { z } from 'zod';

import { createGenerationHandler } from './createGenerationHandler.js';
import { createUnaryHandler } from './createUnaryHandler.js';
import type { StageHandler } from './StageHandler.js';

const documentSchema = z.looseObject({ id: z.string(), text: z.string() });
const documentsSchema = z.object({ documents: z.array(documentSchema) });
const vectorsSchema = z.object({ vectors: z.array(z.array(z.number())) });

/** Stage handlers by kind of backend server. @internal */
export const stageHandlers: Readonly<Record<PoolKind, StageHandler>> = {
  'model-engine': createGenerationHandler(),
  encoder: createUnaryHandler({ getPath: () => '/v1/encode', responseSchema: vectorsSchema }),
  retriever: createUnaryHandler({ getPath: () => '/v1/retrieve', responseSchema: documentsSchema }),
  reranker: createUnaryHandler({ getPath: () => '/v1/rerank', responseSchema: documentsSchema }),
  'plain-service': createUnaryHandler({
    getPath: (stage) => stage.path ?? '/',
    responseSchema: z.json(),
  }),
};
