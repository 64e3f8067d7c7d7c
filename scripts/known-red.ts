/** Starts a line of the list of known failures that holds the name of a test. */
const TEST_PREFIX = 'Test: '

/**
 * Reads the names of the tests that are known to fail, one on each line that starts with `Test: `.
 *
 * @example
 * parseKnownRed('- a finding\n  Test: cell: a task is given up\n') // Set { 'cell: a task is given up' }
 */
export function parseKnownRed (text: string): ReadonlySet<string> {
  const names = text.split('\n').map((line) => line.trim()).filter((line) => line.startsWith(TEST_PREFIX))
  return new Set(names.map((line) => line.slice(TEST_PREFIX.length)))
}
