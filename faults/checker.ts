import { checkAtMostOnce } from './guarantees/at-most-once.ts'
import { checkConfigurationInForce } from './guarantees/configuration-in-force.ts'
import { checkDomainOut } from './guarantees/domain-out.ts'
import { checkGracefulShutdown } from './guarantees/graceful-shutdown.ts'
import { checkKeyAuthorization } from './guarantees/key-respected.ts'
import { checkNoOvercommitment } from './guarantees/no-overcommitment.ts'
import { checkSingleExecution } from './guarantees/single-execution.ts'
import { checkCallAnswers } from './guarantees/call-answers.ts'
import { checkTargetLeaving } from './guarantees/target-leaving.ts'
import { checkTeamLimit } from './guarantees/team-limit.ts'
import { checkNotRunVerdicts } from './guarantees/true-not-run.ts'
import type { History } from './history.ts'
import type { GuaranteeNumber, Violation } from './violation.ts'

/** The check of each guarantee on the design page, by its number. A check reads only the history. */
export const GUARANTEES: Readonly<Record<GuaranteeNumber, (history: History) => readonly Violation[]>> = {
  1: checkNoOvercommitment,
  2: checkSingleExecution,
  3: checkKeyAuthorization,
  4: checkTeamLimit,
  5: checkDomainOut,
  6: checkCallAnswers,
  7: checkNotRunVerdicts,
  8: checkAtMostOnce,
  9: checkTargetLeaving,
  10: checkGracefulShutdown,
  11: checkConfigurationInForce
}

/**
 * Checks the history against all eleven guarantees and returns the violations.
 *
 * @example
 * checkHistory([]) // []
 */
export function checkHistory (history: History): readonly Violation[] {
  return Object.values(GUARANTEES).flatMap((check) => check(history))
}
