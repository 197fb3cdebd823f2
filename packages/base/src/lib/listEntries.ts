/**
 * Lists the entries of a record, typed with its key type, which `Object.entries` widens to string.
 *
 * @param record - the record
 * @returns pairs of key and value
 * @internal
 */
export function listEntries<Key extends string, Value>(
  record: Readonly<Partial<Record<Key, Value>>>,
): [Key, Value][] {
  return Object.entries(record) as [Key, Value][];
}
