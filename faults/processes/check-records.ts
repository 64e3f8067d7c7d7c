import { parseWorkId } from '../../src/model/ids.ts'
import type { StandinCell } from '../../src/standins/standin-cell.ts'
import type { CallerRecord } from './process-load.ts'

type Execution = ReturnType<StandinCell['executions']>[number]

/**
 * Finds violations of the guarantees in what callers and targets observed: an answer to another request, a task that ran in
 * two places at once, a non-idempotent request that ran twice, a false `not-run` verdict, an answer without a run.
 *
 * @example
 * checkRecords(records, cell.platform.executions()) // []
 */
export function checkRecords (records: readonly CallerRecord[], runs: readonly Execution[]): readonly string[] {
  const byWork = groupExecutionsByWork(runs)
  return [
    ...records.flatMap((record) => checkRecord(record, byWork)),
    ...[...byWork].flatMap(([work, attempts]) => checkExecutions(work, attempts))
  ]
}

/**
 * Returns the longest time between two successive answers, in milliseconds.
 *
 * @example
 * longestGap(records)
 */
export function computeLongestGap (records: readonly CallerRecord[]): number {
  const times = records.filter((record) => record.outcome.type === 'answered').map((record) => record.endedAt).sort((left, right) => left - right)
  return times.slice(1).reduce((longest, time, index) => Math.max(longest, time - times[index]!), 0)
}

function checkRecord (record: CallerRecord, byWork: ReadonlyMap<string, readonly Execution[]>): readonly string[] {
  const { outcome, number } = record
  switch (outcome.type) {
    case 'answered':
      if (outcome.echo !== number) return [`request ${number} got the answer of ${String(outcome.echo)}`]
      return byWork.has(outcome.work) ? [] : [`request ${number} was answered but ${outcome.work} never ran`]
    case 'refused':
      if (outcome.verdict === '') return [`request ${number} was refused without a verdict`]
      if (outcome.verdict !== 'not-run' || outcome.work === undefined) return []
      return byWork.has(outcome.work) ? [`request ${number} was refused as not-run but ${outcome.work} ran`] : []
    case 'broken':
      return record.keyed ? [`request ${number} with an idempotency key got no answer in time`] : []
  }
}

function checkExecutions (work: string, attempts: readonly Execution[]): readonly string[] {
  const keyed = /^g\d+-k/.test(work)
  const violations = keyed && attempts.length > 1 ? [`non-idempotent ${work} ran ${attempts.length} times`] : []
  const sorted = [...attempts].sort((left, right) => left.startedAt - right.startedAt)
  const overlaps = sorted.some((run, index) => index > 0 && (sorted[index - 1]!.endedAt ?? Infinity) > run.startedAt)
  return overlaps ? [...violations, `${work} ran in two places`] : violations
}

function groupExecutionsByWork (runs: readonly Execution[]): ReadonlyMap<string, readonly Execution[]> {
  const byWork = new Map<string, Execution[]>()
  for (const execution of runs) {
    const work = parseWorkId(execution.taskId)
    const workExecutions = byWork.get(work)
    if (workExecutions === undefined) byWork.set(work, [execution])
    else workExecutions.push(execution)
  }
  return byWork
}
