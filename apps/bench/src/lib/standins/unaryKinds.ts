import { computeHash, type Random } from '@endiveferry/base';

import { sendJson, type StandInCall, type StandInKind } from './startStandInServer.js';

const VECTOR_LENGTH = 8;
const DEFAULT_DOCUMENT_COUNT = 10;

/** Mean service times of stand-ins by kind of call, in milliseconds. */
export const meanServiceTimesMs = {
  encode: 6,
  retrieve: 8,
  rerank: 12,
  plain: 10,
} as const;

const getCallId = (call: StandInCall) => String(call.headers['x-request-id'] ?? 'unnamed');
const getPriority = (call: StandInCall) => Number(call.headers['x-priority'] ?? 9);

/** Draws a service time: half of the mean is fixed, the other half is exponentially distributed. */
function drawServiceMs(random: Random, meanMs: number): number {
  return meanMs * (0.5 - 0.5 * Math.log(1 - random.nextFraction()));
}

function createUnaryKind(
  random: Random,
  meanMs: number,
  buildResponse: (call: StandInCall) => unknown,
): StandInKind {
  return {
    getCallId,
    getPriority,
    async execute(call, wait) {
      await wait(drawServiceMs(random, meanMs));
      sendJson(call.response, 200, buildResponse(call));
    },
  };
}

function encode(call: StandInCall): unknown {
  const texts = Array.isArray(call.body.texts) ? call.body.texts : [call.body.texts];
  const vectors = texts.map((text) =>
    Array.from({ length: VECTOR_LENGTH }, (_value, index) => computeHash(String(text), index)),
  );
  return { vectors };
}

function retrieve(call: StandInCall): unknown {
  const limit = Number(call.body.limit ?? DEFAULT_DOCUMENT_COUNT);
  const documents = Array.from({ length: limit }, (_value, index) => {
    const id = computeHash(String(call.body.query), index).toString(16);
    return { id, text: `document ${id} on ${String(call.body.query).slice(0, 40)}` };
  });
  return { documents };
}

function rerank(call: StandInCall): unknown {
  const documents = Array.isArray(call.body.documents) ? (call.body.documents as unknown[]) : [];
  return { documents: documents.slice(0, Number(call.body.limit ?? documents.length)) };
}

/** Creates the stand-in of an encoder. @internal */
export const createEncoderKind = (random: Random): StandInKind =>
  createUnaryKind(random, meanServiceTimesMs.encode, encode);

/** Creates the stand-in of a retriever. @internal */
export const createRetrieverKind = (random: Random): StandInKind =>
  createUnaryKind(random, meanServiceTimesMs.retrieve, retrieve);

/** Creates the stand-in of a reranker. @internal */
export const createRerankerKind = (random: Random): StandInKind =>
  createUnaryKind(random, meanServiceTimesMs.rerank, rerank);

/** Creates the stand-in of a plain service, which echoes the request. @internal */
export const createPlainServiceKind = (random: Random): StandInKind =>
  createUnaryKind(random, meanServiceTimesMs.plain, (call) => ({
    confirmation: getCallId(call),
    path: call.path,
    received: call.body,
  }));
