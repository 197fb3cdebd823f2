/**
 * Formats rows as text with aligned columns.
 *
 * @param header - the column names
 * @param rows - the cells of each row
 * @returns the lines of text, the header first
 * @internal
 */
export function formatTable(
  header: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const lines = [header, ...rows];
  const widths = header.map((_name, column) =>
    Math.max(...lines.map((cells) => (cells[column] ?? '').length)),
  );
  return lines.map((cells) =>
    cells
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}
