import { err, ok, type Result } from 'neverthrow'
import type { Problem } from '../model/problem.ts'
import { formatProblem } from '../model/problem.ts'
import { EXIT_CODE, type ExitCode } from './exit-code.ts'

/** Output of a successful command: one JSON value with `--json`, otherwise text for people. */
export type Output = { readonly json: unknown, readonly text: string }

/** The reason why a command failed. */
export type Failure = {
  readonly exitCode: ExitCode
  /** Kebab-case id: the code of the server's problem document, or a code of the command. */
  readonly code: string
  readonly message: string
  /** Further fields of the error for `--json`. */
  readonly details?: Readonly<Record<string, unknown>>
}

/** The result of a command. */
export type Outcome = Result<Output, Failure>

/**
 * Creates a successful outcome.
 *
 * @example
 * createSuccess({ revision: 7 }, 'revision 7 is in force')
 */
export function createSuccess (json: unknown, text: string): Outcome {
  return ok({ json, text })
}

/**
 * Creates a failed outcome.
 *
 * @example
 * createFailure(EXIT_CODE.usage, 'usage', 'give a work id or a selector')
 */
export function createFailure (exitCode: ExitCode, code: string, message: string, details?: Readonly<Record<string, unknown>>) {
  return err<never, Failure>({ exitCode, code, message, details })
}

/**
 * Creates the failure for files with problems; the message has one line for each problem.
 *
 * @example
 * createInvalidFilesFailure(problems)
 */
export function createInvalidFilesFailure (problems: readonly Problem[]) {
  const lines = problems.map(formatProblem)
  return createFailure(EXIT_CODE.usage, 'invalid-files', [...lines, `${problems.length} ${problems.length === 1 ? 'problem' : 'problems'}`].join('\n'), { problems })
}
