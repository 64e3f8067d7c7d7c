import { type History, type ObservationOf } from '../history.ts'
import type { Violation } from '../violation.ts'

/** Maximum time on the design page from the listing of a host as leaving to the last start. */
const TARGET_LEAVING_BOUND_MS = 3_000

/** Guarantee 9: no task starts on a target later than the bound after the host list shows it as leaving. */
export function checkTargetLeaving (history: History): readonly Violation[] {
  const leaving = new Map<string, ObservationOf<'target-leaving'>>()
  const violations: Violation[] = []
  for (const observation of history) {
    if (observation.type === 'target-leaving') leaving.set(observation.target, observation)
    if (observation.type === 'target-returned') leaving.delete(observation.target)
    if (observation.type === 'task-started') violations.push(...checkStart(observation, leaving.get(observation.target)))
  }
  return violations
}

function checkStart (start: ObservationOf<'task-started'>, leaving: ObservationOf<'target-leaving'> | undefined): readonly Violation[] {
  if (leaving === undefined || start.at <= leaving.at + TARGET_LEAVING_BOUND_MS) return []
  return [{ guarantee: 9, detail: `task ${start.taskId} started on ${start.target} ${start.at - leaving.at} ms after it was listed as leaving`, evidence: [leaving, start] }]
}
