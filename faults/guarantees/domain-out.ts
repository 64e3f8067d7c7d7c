import { filterByType, type History } from '../history.ts'
import { possibleValues, findPublications } from '../publications.ts'
import type { Violation } from '../violation.ts'

/** Maximum time on the design page from the acceptance of the operator's change to the last start. */
const DOMAIN_OUT_BOUND_MS = 3_000

/** Guarantee 5: no task starts in a failure domain later than the bound after the domain was taken out. */
export function checkDomainOut (history: History): readonly Violation[] {
  const domains = new Map(filterByType(history, 'target-listed').map((target) => [target.target, target.failureDomain]))
  return filterByType(history, 'task-started').flatMap((start) => {
    const domain = domains.get(start.target)
    if (domain === undefined) return []
    const publications = findPublications(history, 'failureDomain', domain)
    const states = possibleValues(publications, start.at, DOMAIN_OUT_BOUND_MS)
    if (states.some((state) => state?.state !== 'out')) return []
    const evidence = publications.flatMap((publication) => publication.answered === undefined ? [publication.asked] : [publication.asked, publication.answered])
    return [{ guarantee: 5, detail: `task ${start.taskId} started on ${start.target} in ${domain}, which is out`, evidence: [...evidence, start] }]
  })
}
