/**
 * Parses a stored record; undefined if the value is not JSON or `isValid` returns false. Records without a guard are written
 * by members only and small; their fields are not validated.
 *
 * @example
 * parseRecord<CommitRecord>(entry.value)
 * parseRecord(entry.value, isJobProgress)
 */
export function parseRecord<Content> (value: string, isValid: (content: unknown) => content is Content = acceptAny): Content | undefined {
  try {
    const content: unknown = JSON.parse(value)
    return isValid(content) ? content : undefined
  } catch {
    return undefined
  }
}

function acceptAny<Content> (content: unknown): content is Content {
  return content !== null
}
