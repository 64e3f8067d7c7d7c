import { add, fits, NO_RESOURCES, type Resources } from '../../src/model/resources.ts'
import { filterByType, type History } from '../history.ts'
import { visitStarts } from '../occupancy.ts'
import type { Violation } from '../violation.ts'

/** Guarantee 1: the declared resources of the tasks running on a target never exceed its capacity. */
export function checkNoOvercommitment (history: History): readonly Violation[] {
  const listed = new Map(filterByType(history, 'target-listed').map((target) => [target.target, target]))
  const violations: Violation[] = []
  visitStarts(history, (start, running) => {
    const together = running.filter((task) => task.target === start.target)
    const used = together.reduce<Resources>((sum, task) => add(sum, task.resources), NO_RESOURCES)
    const target = listed.get(start.target)
    if (target !== undefined && fits(used, target.capacity)) return
    const detail = target === undefined ? `task ${start.taskId} started on the unlisted target ${start.target}` : `tasks on ${start.target} use ${JSON.stringify(used)} of ${JSON.stringify(target.capacity)}`
    violations.push({ guarantee: 1, detail, evidence: target === undefined ? together : [target, ...together] })
  })
  return violations
}
