/**
 * Finds the valid name that is closest to a mistyped name. Returns undefined if no name is close: the edit distance may be
 * at most a third of the length, or 2 for short names.
 *
 * @example
 * findNearestName('heartbeatMs', ['heartbeatIntervalMs', 'syncWaitMs']) // undefined
 * findNearestName('syncWaitMS', ['heartbeatIntervalMs', 'syncWaitMs']) // 'syncWaitMs'
 */
export function findNearestName (found: string, valid: Iterable<string>): string | undefined {
  // No valid name is this long, and the distance is computed in quadratic time.
  if (found.length > 80) return undefined
  let best: string | undefined
  let bestDistance = Math.max(2, Math.floor(found.length / 3)) + 1
  for (const name of valid) {
    const distance = computeEditDistance(found.toLowerCase(), name.toLowerCase())
    if (distance >= bestDistance) continue
    best = name
    bestDistance = distance
  }
  return best
}

/** Computes the Levenshtein distance of two short texts. */
function computeEditDistance (left: string, right: string): number {
  let previous = Array.from({ length: right.length + 1 }, (_, index) => index)
  for (let row = 1; row <= left.length; row += 1) {
    const current = [row]
    for (let column = 1; column <= right.length; column += 1) {
      const substitution = previous[column - 1]! + (left[row - 1] === right[column - 1] ? 0 : 1)
      current.push(Math.min(substitution, previous[column]! + 1, current[column - 1]! + 1))
    }
    previous = current
  }
  return previous[right.length]!
}
