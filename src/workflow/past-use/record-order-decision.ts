import { count, log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { PAST_USE_FIELD, compareRanks } from '../order/step-rank.ts'
import type { StepRank } from '../order/step-rank.ts'
import type { StepRun } from '../task.ts'

/** Time between two log lines about an order that past use has decided, in milliseconds. */
const LOG_INTERVAL_MS = 10_000

/** Two neighbours in the order: without past use the second would go before the first. */
type DecidedPair = { readonly first: StepRun, readonly second: StepRun }

/** Counts and logs whether past use has changed the order of a start pass; does nothing while past use orders nothing. */
export function recordOrderDecision (state: CellState, ordered: readonly StepRun[], ranks: ReadonlyMap<StepRun, StepRank>): void {
  const { pastUse: { enabled, times }, now } = state
  if (!enabled || ordered.length < 2) return
  const pair = findDecidedPair(ordered, ranks)
  count(state, 'past-use-order', pair === undefined ? 'unchanged' : 'changed')
  if (pair === undefined || now - times.decisionLoggedAt < LOG_INTERVAL_MS) return
  times.decisionLoggedAt = now
  const { first, second } = pair
  log(state, 'info', 'past-use-decided', {
    step: first.key,
    organisation: first.job.definition.organisation,
    orderKey: ranks.get(first)![PAST_USE_FIELD],
    behind: second.key,
    behindOrganisation: second.job.definition.organisation,
    behindOrderKey: ranks.get(second)![PAST_USE_FIELD]
  })
}

function findDecidedPair (ordered: readonly StepRun[], ranks: ReadonlyMap<StepRun, StepRank>): DecidedPair | undefined {
  for (const [index, second] of ordered.entries()) {
    const first = ordered[index - 1]
    if (first === undefined) continue
    const [left, right] = [ranks.get(first)!, ranks.get(second)!]
    // Overdue steps go first whatever their rank; past use decides only among the others.
    if (compareRanks(left, right) < 0 && compareRanks(withoutPastUse(left), withoutPastUse(right)) > 0) return { first, second }
  }
  return undefined
}

function withoutPastUse (rank: StepRank): StepRank {
  return rank.with(PAST_USE_FIELD, 0) as unknown as StepRank
}
