/**
 * Lists a record's entries with the key's own type, which `Object.entries` loses.
 *
 * @param record - the record
 * @returns its keys and values
 * @internal
 */
export function listEntries<Key extends string, Value>(
  record: Readonly<Partial<Record<Key, Value>>>,
): [Key, Value][] {
  return Object.entries(record) as [Key, Value][];
}
