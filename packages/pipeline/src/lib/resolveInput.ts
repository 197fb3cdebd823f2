import { listEntries, type StageId } from '@endiveferry/base';
import type { InputField, Stage } from '@endiveferry/settings';

/**
 * Data that the input of a stage may refer to.
 *
 * @public
 */
export interface InputSource {
  /** Body of the caller's request. */
  readonly request: unknown;
  /** Outputs of the stages completed so far. */
  readonly stages: Readonly<Record<StageId, unknown>>;
}

/** Resolves a JSON Pointer (RFC 6901); undefined when it refers to no value. */
function resolvePointer(source: InputSource, pointer: string): unknown {
  let value: unknown = source;
  for (const token of pointer.split('/').slice(1)) {
    const key = token.replaceAll('~1', '/').replaceAll('~0', '~');
    if (typeof value !== 'object' || value === null || !Object.hasOwn(value, key)) return undefined;
    value = (value as Record<string, unknown>)[key];
  }
  return value;
}

function formatText(value: unknown): string {
  if (value === undefined) return '';
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function resolveField(source: InputSource, field: InputField): unknown {
  if ('pointer' in field) return resolvePointer(source, field.pointer);
  if ('value' in field) return field.value;
  return field.concat
    .map((part) =>
      typeof part === 'string' ? part : formatText(resolvePointer(source, part.pointer)),
    )
    .join('');
}

/**
 * Builds the input of a stage.
 *
 * @param stage - the stage
 * @param source - the caller's body and the outputs so far
 * @returns the input fields; those whose pointer refers to no value are omitted
 * @public
 */
export function resolveInput(stage: Stage, source: InputSource): Readonly<Record<string, unknown>> {
  const fields = listEntries(stage.input).map(
    ([name, field]) => [name, resolveField(source, field)] as const,
  );
  return Object.fromEntries(fields.filter(([, value]) => value !== undefined));
}
