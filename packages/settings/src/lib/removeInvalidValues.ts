type Container = Record<PropertyKey, unknown>;

function isContainer(value: unknown): value is Container {
  return typeof value === 'object' && value !== null;
}

function findContainer(document: Container, keys: readonly PropertyKey[]): Container | undefined {
  let value: unknown = document;
  for (const key of keys) {
    if (!isContainer(value)) return undefined;
    value = value[key];
  }
  return isContainer(value) ? value : undefined;
}

/** Removes the value at the path, or the one above it when the value is the thing that is missing. */
function removeInvalidValue(document: Container, keys: readonly PropertyKey[]): void {
  const last = keys.at(-1);
  if (last === undefined) return;
  const parentKeys = keys.slice(0, -1);
  const parent = findContainer(document, parentKeys);
  if (parent === undefined) return;
  const canRemove = Object.hasOwn(parent, last) && !Array.isArray(parent);
  if (canRemove) Reflect.deleteProperty(parent, last);
  else if (parentKeys.length === 0) document[last] = {};
  else removeInvalidValue(document, parentKeys);
}

/**
 * Sets the broken parts of a document aside, so that the rest can still be checked.
 *
 * @param document - the document
 * @param paths - where the broken values are or should be, keys from the root down
 * @returns a copy without them
 * @internal
 */
export function removeInvalidValues(
  document: unknown,
  paths: readonly (readonly PropertyKey[])[],
): unknown {
  const copy: unknown = structuredClone(document);
  if (!isContainer(copy)) return {};
  for (const keys of paths) removeInvalidValue(copy, keys);
  return copy;
}
