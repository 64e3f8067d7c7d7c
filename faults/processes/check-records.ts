import { parseWorkId } from '../../src/model/ids.ts'
import type { StandinCell } from '../../src/standins/standin-cell.ts'
import type { CallerRecord } from './process-load.ts'

type Run = ReturnType<StandinCell['executions']>[number]

/**
 * What callers and targets saw that breaks a guarantee: an answer to another request, a task in two places, a
 * non-idempotent request that ran twice, a false `not-run`, an answer without a run.
 *
 * @example
 * checkRecords(records, cell.platform.executions()) // []
 */
export function checkRecords (records: readonly CallerRecord[], runs: readonly Run[]): readonly string[] {
  const byWork = groupByWork(runs)
  return [
    ...records.flatMap((record) => checkRecord(record, byWork)),
    ...[...byWork].flatMap(([work, attempts]) => checkRuns(work, attempts))
  ]
}

/**
 * Longest time in which no request that was sent got an answer, in milliseconds.
 *
 * @example
 * longestGap(records)
 */
export function longestGap (records: readonly CallerRecord[]): number {
  const times = records.filter((record) => record.outcome.type === 'answered').map((record) => record.endedAt).sort((left, right) => left - right)
  return times.slice(1).reduce((longest, time, index) => Math.max(longest, time - times[index]!), 0)
}

function checkRecord (record: CallerRecord, byWork: ReadonlyMap<string, readonly Run[]>): readonly string[] {
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

function checkRuns (work: string, attempts: readonly Run[]): readonly string[] {
  const keyed = /^g\d+-k/.test(work)
  const violations = keyed && attempts.length > 1 ? [`non-idempotent ${work} ran ${attempts.length} times`] : []
  const sorted = [...attempts].sort((left, right) => left.startedAt - right.startedAt)
  const overlaps = sorted.some((run, index) => index > 0 && (sorted[index - 1]!.endedAt ?? Infinity) > run.startedAt)
  return overlaps ? [...violations, `${work} ran in two places`] : violations
}

function groupByWork (runs: readonly Run[]): ReadonlyMap<string, readonly Run[]> {
  const byWork = new Map<string, Run[]>()
  for (const run of runs) {
    const work = parseWorkId(run.taskId)
    const known = byWork.get(work)
    if (known === undefined) byWork.set(work, [run])
    else known.push(run)
  }
  return byWork
}
