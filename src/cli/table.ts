/** A table cell; columns of numbers are aligned to the right. */
export type Cell = string | number

/**
 * Formats a table for people, or `none` if it has no rows. Control characters are replaced, so that a name from the
 * server cannot move the cursor of a terminal.
 *
 * @example
 * formatTable(['team', 'waiting'], [['stock', 3]])
 */
export function formatTable (headers: readonly string[], rows: readonly (readonly Cell[])[]): string {
  if (rows.length === 0) return 'none'
  const texts = rows.map((row) => row.map((cell) => replaceControlCharacters(String(cell))))
  const widths = headers.map((header, column) => Math.max(header.length, ...texts.map((row) => row[column]!.length)))
  const numeric = headers.map((_, column) => rows.every((row) => typeof row[column] === 'number'))
  const line = (cells: readonly string[]) => cells.map((cell, column) => numeric[column] ? cell.padStart(widths[column]!) : cell.padEnd(widths[column]!)).join('  ').trimEnd()
  return [line(headers), ...texts.map(line)].join('\n')
}

/**
 * Replaces each control character by a question mark.
 *
 * @example
 * replaceControlCharacters('a\u001b[2J') // 'a?[2J'
 */
export function replaceControlCharacters (text: string): string {
  // eslint-disable-next-line no-control-regex -- the function replaces control characters.
  return text.replace(/[\u0000-\u001f\u007f-\u009f]/g, '?')
}

/**
 * Formats a time in milliseconds since 1970 for people.
 *
 * @example
 * formatTime(0) // '1970-01-01T00:00:00.000Z'
 */
export function formatTime (at: number): string {
  const date = new Date(at)
  return Number.isNaN(date.getTime()) ? 'unknown' : date.toISOString()
}
