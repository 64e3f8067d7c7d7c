/**
 * Parses a stored record; undefined if the value is not JSON. Only members write these keys, so the fields are not
 * validated.
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
