import { groupBy } from '../group-by.ts'
import { filterByType, type History, type ObservationOf } from '../history.ts'
import { collectPublications, type Publication } from '../publications.ts'
import type { Violation } from '../violation.ts'

/** Maximum time on the design page from the acceptance of a revision until every member uses it. */
const IN_FORCE_BOUND_MS = 6_000

type Shown = ObservationOf<'configuration-shown'>

/**
 * Guarantee 11: an accepted revision is in force on all members within the bound and never reverts. A member whose
 * configuration is not fresh refuses keyed work instead of using an old revision, so it is checked only for reversions.
 */
export function checkConfigurationInForce (history: History): readonly Violation[] {
  const shown = filterByType(history, 'configuration-shown')
  const accepted = collectPublications(history).filter((publication) => publication.revision !== undefined)
  return [...findLateRevisions(shown, accepted), ...findReversions(shown), ...findDifferentContents(shown), ...findSharedRevisions(accepted)]
}

function findLateRevisions (shown: readonly Shown[], accepted: readonly Publication[]): readonly Violation[] {
  return shown.filter((observation) => observation.fresh).flatMap((observation) => {
    const missing = accepted.find((publication) => publication.answered!.at + IN_FORCE_BOUND_MS < observation.at && publication.revision! > observation.revision)
    if (missing === undefined) return []
    const detail = `member ${observation.member} uses revision ${observation.revision} ${observation.at - missing.answered!.at} ms after ${missing.revision} was accepted`
    return [{ guarantee: 11, detail, evidence: [missing.answered!, observation] }]
  })
}

function findReversions (shown: readonly Shown[]): readonly Violation[] {
  const newest = new Map<string, Shown>()
  return shown.flatMap((observation) => {
    const key = `${observation.member} ${observation.incarnation}`
    const before = newest.get(key)
    if (before === undefined || observation.revision >= before.revision) {
      newest.set(key, observation)
      return []
    }
    return [{ guarantee: 11, detail: `member ${observation.member} went back from revision ${before.revision} to ${observation.revision}`, evidence: [before, observation] }]
  })
}

function findDifferentContents (shown: readonly Shown[]): readonly Violation[] {
  const first = new Map<number, Shown>()
  return shown.flatMap((observation) => {
    const other = first.get(observation.revision) ?? observation
    first.set(observation.revision, other)
    if (other.digest === observation.digest) return []
    return [{ guarantee: 11, detail: `revision ${observation.revision} differs between ${other.member} and ${observation.member}`, evidence: [other, observation] }]
  })
}

function findSharedRevisions (accepted: readonly Publication[]): readonly Violation[] {
  const byRevision = groupBy(accepted, (publication) => publication.revision!)
  return [...byRevision].filter(([, publications]) => publications.length > 1).map(([revision, publications]): Violation => ({
    guarantee: 11,
    detail: `revision ${revision} was accepted for ${publications.length} publications`,
    evidence: publications.map((publication) => publication.answered!)
  }))
}
