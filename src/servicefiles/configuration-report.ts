import type { Problem } from '../model/problem.ts'
import { formatProblem } from '../model/problem.ts'

/** Something that is valid and probably not meant. */
export type ConfigurationWarning = { readonly file: string, readonly pointer: string, readonly line?: number | undefined, readonly message: string }

/** Result of checking a configuration before it is sent. `changes`: differences from the version in force, one line each. */
export type ConfigurationReport = {
  readonly errors: readonly Problem[]
  readonly warnings: readonly ConfigurationWarning[]
  readonly changes: readonly string[]
}

/**
 * Formats a report as text.
 *
 * @example
 * formatConfigurationReport({ errors: [], warnings: [], changes: [] }) // 'no errors, no warnings'
 */
export function formatConfigurationReport ({ errors, warnings, changes }: ConfigurationReport): string {
  const lines = [
    ...errors.map((error) => `error: ${formatProblem(error)}`),
    ...warnings.map(({ file, line, pointer, message }) => `warning: ${line === undefined ? file : `${file}:${line}`}: ${pointer}: ${message}`),
    ...changes
  ]
  return [...lines, `${countOf(errors.length, 'error')}, ${countOf(warnings.length, 'warning')}`].join('\n')
}

function countOf (count: number, noun: string): string {
  return `${count === 0 ? 'no' : count} ${noun}${count === 1 ? '' : 's'}`
}
