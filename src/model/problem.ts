/** Kind of a problem. */
export type ProblemCode =
  | 'broken-json' | 'too-large' | 'duplicate-key' | 'unknown-field' | 'missing-field' | 'wrong-type' | 'out-of-range'
  | 'not-allowed' | 'duplicate-name' | 'unknown-reference' | 'inconsistent' | 'unreadable'

/** An error in a settings file, a service file or a request body. */
export type Problem = {
  readonly code: ProblemCode
  readonly file: string
  /** JSON pointer (RFC 6901) of the invalid value; empty for the whole document. */
  readonly pointer: string
  /** Line of the invalid value, starting at 1. */
  readonly line?: number
  readonly found: string
  readonly allowed: string
  /** Most similar valid name, if the found name looks like a typing error. */
  readonly nearest?: string
}

/**
 * Formats a problem as one line of text.
 *
 * @example
 * formatProblem({ code: 'out-of-range', file: 'a.json', pointer: '/groups', line: 3, found: '0', allowed: 'whole number from 1 to 1024' })
 * // 'a.json:3: /groups: found 0; allowed: whole number from 1 to 1024'
 */
export function formatProblem (problem: Problem): string {
  const place = problem.line === undefined ? problem.file : `${problem.file}:${problem.line}`
  const pointer = problem.pointer === '' ? '' : ` ${problem.pointer}:`
  const nearest = problem.nearest === undefined ? '' : `; did you mean "${problem.nearest}"?`
  return `${place}:${pointer} found ${problem.found}; allowed: ${problem.allowed}${nearest}`
}
