/**
 * The record in a stored text; undefined if the text is no JSON. Only members write these keys, so that the fields are
 * trusted.
 *
 * @example
 * parseRecord<CommitRecord>(entry.value)
 */
export function parseRecord<Content> (value: string): Content | undefined {
  try {
    return JSON.parse(value) as Content
  } catch {
    return undefined
  }
}
