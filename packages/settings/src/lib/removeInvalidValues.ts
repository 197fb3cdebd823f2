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

/**
 * Removes the value at the path, or its nearest removable ancestor when the value is missing or is
 * an element of an array. A missing section of the root is replaced by an empty one.
 */
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
 * Removes the invalid values of a document, so that the remaining ones can still be checked.
 *
 * @param document - the document
 * @param paths - paths of the invalid or missing values, as keys from the root down
 * @returns a copy of the document without these values
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
