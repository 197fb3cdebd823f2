import { listEntries, type StageId } from '@endiveferry/base';
import type { InputField, Stage } from '@endiveferry/settings';

/**
 * What the input of a stage may refer to.
 *
 * @public
 */
export interface InputSource {
  /** The body that the caller sent. */
  readonly request: unknown;
  /** The outputs of the stages that ran. */
  readonly stages: Readonly<Record<StageId, unknown>>;
}

/** Follows a JSON Pointer (RFC 6901); undefined where it leads nowhere. */
function findPointer(source: InputSource, pointer: string): unknown {
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
  if ('pointer' in field) return findPointer(source, field.pointer);
  if ('value' in field) return field.value;
  return field.concat
    .map((part) =>
      typeof part === 'string' ? part : formatText(findPointer(source, part.pointer)),
    )
    .join('');
}

/**
 * Builds the input of a stage.
 *
 * @param stage - the stage
 * @param source - the caller's body and the outputs so far
 * @returns the fields; one whose pointer leads nowhere is left out
 * @public
 */
export function resolveInput(stage: Stage, source: InputSource): Readonly<Record<string, unknown>> {
  const fields = listEntries(stage.input).map(
    ([name, field]) => [name, resolveField(source, field)] as const,
  );
  return Object.fromEntries(fields.filter(([, value]) => value !== undefined));
}
