import type { GroupOverview } from '../model/group-request.ts'
import { parseWorkId } from '../model/ids.ts'
import type { StandinCell } from '../standins/standin-cell.ts'
import type { Observation, WorkClass } from './load-generator.ts'
import { isSuccess } from './load-generator.ts'

/** No task may start in a failure domain later than this after an operator takes it out. */
const MAX_DOMAIN_OUT_DELAY_MS = 3_000
const WORK_CLASSES: readonly WorkClass[] = ['urgent', 'request', 'batch', 'gang']
const PERCENT = 100
const MS_PER_SECOND = 1_000

/** Period in which the failure domain was out, by the clock of the stand-ins. */
export type Outage = { readonly failureDomain: string, readonly from: number, readonly until: number }

/** Data of a run that the summary is computed from. */
export type SummaryInput = {
  readonly platform: StandinCell
  readonly observations: readonly Observation[]
  readonly groups: readonly GroupOverview[]
  readonly outage: Outage
  readonly durationMs: number
}

/** Measurements of one run, from the point of view of the users. */
export type Summary = {
  readonly lines: readonly string[]
  /** Violated guarantees that the demonstration can detect. */
  readonly violations: readonly string[]
}

type Run = ReturnType<StandinCell['executions']>[number]

/**
 * Summarises a run for people.
 *
 * @example
 * summarise(input).lines.join('\n')
 */
export function summarise (input: SummaryInput): Summary {
  const runs = input.platform.executions()
  const domains = new Map([...input.platform.targets].map(([id, { target }]) => [id, target.failureDomain]))
  const { failureDomain, from, until } = input.outage
  const lateStarts = runs.filter((run) => domains.get(run.target) === failureDomain && run.startedAt > from + MAX_DOMAIN_OUT_DELAY_MS && run.startedAt < until)
  const violations = [
    ...lateStarts.map((run) => `${run.taskId} started in ${failureDomain} ${Math.round(run.startedAt - from)} ms after it was taken out`),
    ...findConcurrentRuns(runs)
  ]
  const calls = Object.entries(input.platform.store.counts).reduce((sum, [, count]) => sum + count, 0)
  return {
    lines: [
      ...formatWaitingLines(input.observations, runs),
      formatResponsesLine(input.observations),
      `packing                ${formatSlotUsage(input.groups)}`,
      ...formatShareLines(input.groups),
      `starts per second      before the outage ${formatStartRate(runs, from - (until - from), from)}, during it ${formatStartRate(runs, from, until)}`,
      `starts in ${failureDomain} later than 3 s after it was taken out: ${lateStarts.length}`,
      `store calls per second ${(calls * MS_PER_SECOND / input.durationMs).toFixed(1)}`
    ],
    violations
  }
}

function formatWaitingLines (observations: readonly Observation[], runs: readonly Run[]): readonly string[] {
  const firstStart = new Map<string, number>()
  for (const run of runs) {
    const work = parseWorkId(run.taskId)
    firstStart.set(work, Math.min(firstStart.get(work) ?? Infinity, run.startedAt))
  }
  return WORK_CLASSES.map((workClass) => {
    const waits = observations
      .filter((observation) => observation.workClass === workClass && observation.work !== undefined && firstStart.has(observation.work))
      .map((observation) => Math.max(0, firstStart.get(observation.work!)! - observation.sentAt))
      .sort((left, right) => left - right)
    return `waiting ${workClass.padEnd(14)} p50 ${formatQuantile(waits, 0.5)} ms, p99 ${formatQuantile(waits, 0.99)} ms (${waits.length} works)`
  })
}

function formatResponsesLine (observations: readonly Observation[]): string {
  const succeeded = observations.filter(isSuccess).length
  const refused = observations.filter((observation) => !isSuccess(observation) && observation.verdict === 'not-run').length
  const other = observations.length - succeeded - refused
  return `responses              ${succeeded} succeeded, ${refused} refused as not-run, ${other} other`
}

function formatSlotUsage (groups: readonly GroupOverview[]): string {
  const targets = groups.flatMap((group) => group.targets)
  const used = targets.reduce((sum, target) => sum + target.used.slots, 0)
  const capacity = targets.reduce((sum, target) => sum + target.capacity.slots, 0)
  return `${used} of ${capacity} slots used at the end of the load`
}

function formatShareLines (groups: readonly GroupOverview[]): readonly string[] {
  const teams = new Map<string, { share: number, entitled: number, groups: number }>()
  for (const { team, share, entitled } of groups.flatMap((group) => group.teams)) {
    const total = teams.get(team) ?? { share: 0, entitled: 0, groups: 0 }
    teams.set(team, { share: total.share + share, entitled: total.entitled + entitled, groups: total.groups + 1 })
  }
  const largest = [...teams].sort((left, right) => right[1].share - left[1].share).slice(0, 4)
  return largest.map(([team, total]) =>
    `share ${team.padEnd(25)} ${formatPercent(total.share / total.groups)} used, ${formatPercent(total.entitled / total.groups)} entitled at full load`)
}

function findConcurrentRuns (runs: readonly Run[]): readonly string[] {
  const byTask = new Map<string, Run[]>()
  for (const run of runs) byTask.set(run.taskId, [...byTask.get(run.taskId) ?? [], run])
  return [...byTask].flatMap(([taskId, attempts]) => hasOverlap(attempts) ? [`${taskId} had two runs at the same time`] : [])
}

function hasOverlap (attempts: readonly Run[]): boolean {
  const sorted = [...attempts].sort((left, right) => left.startedAt - right.startedAt)
  return sorted.some((run, index) => index > 0 && (sorted[index - 1]!.endedAt ?? Infinity) > run.startedAt)
}

function formatStartRate (runs: readonly Run[], from: number, until: number): string {
  const started = runs.filter((run) => run.startedAt >= from && run.startedAt < until).length
  return (started * MS_PER_SECOND / (until - from)).toFixed(1)
}

function formatQuantile (sorted: readonly number[], ratio: number): string {
  if (sorted.length === 0) return '-'
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * ratio))]!.toFixed(0)
}

function formatPercent (ratio: number): string {
  return `${(ratio * PERCENT).toFixed(1)}%`
}
