import type { JobDefinition, Step } from '../../src/workflow/job.ts'
import type { LastRuns } from './last-runs.ts'
import type { CellView, WaitingWork } from './liveness-check.ts'
import type { SimulatedTarget } from './simulated-target.ts'

/** A job that is owed its runs: accepted, neither cancelled nor ended. */
export type OwedJob = { readonly definition: JobDefinition, readonly acceptedAt: number }

export type CellViewOptions = {
  readonly now: number
  readonly disturbed: boolean
  readonly targets: ReadonlyMap<string, SimulatedTarget>
  readonly jobs: readonly OwedJob[]
  readonly lastRuns: LastRuns
  /** Maximum of each organisation, in thousandths of a core; undefined without a limit. */
  readonly maximumCpuMillis: (organisation: string) => number | undefined
  readonly usedCpuMillis: (organisation: string) => number
}

/** Builds what the targets show at a moment. */
export function buildCellView (options: CellViewOptions): CellView {
  const { now, disturbed, jobs } = options
  const targets = [...options.targets.values()]
  for (const target of targets) target.completeDueRuns(now)
  const running = new Set(targets.flatMap(({ runs }) => [...runs.keys()]))
  const open = targets.filter((target) => target.isReachable(now) && !target.draining)
  const capacity = open.reduce((sum, target) => sum + target.cpuMillis, 0)
  const free = open.map(({ cpuMillis, usedCpuMillis }) => cpuMillis - usedCpuMillis)
  return {
    now,
    disturbed,
    waiting: jobs.flatMap((job) => findWaitingWork(job, running, options)),
    freeCpuMillis: free,
    usedCapacity: capacity === 0 ? 1 : 1 - free.reduce((sum, amount) => sum + amount, 0) / capacity
  }
}

function findWaitingWork ({ definition, acceptedAt }: OwedJob, running: ReadonlySet<string>, options: CellViewOptions): readonly WaitingWork[] {
  const { now, lastRuns } = options
  const { id, steps, firstAtMs, intervalMs, organisation } = definition
  const maximum = options.maximumCpuMillis(organisation)
  const usedMaximum = maximum === undefined ? 0 : options.usedCpuMillis(organisation) / maximum
  const lasting = steps.flatMap((step, number) => step.longRunning ? Array.from({ length: step.count }, (_, index) => ({ step, key: `${id}.0.${number}.${index}` })) : [])
  if (lasting.length > 0) {
    return lasting.filter(({ key }) => !running.has(key)).map(({ step, key }) => {
      const last = lastRuns.find(key)
      const lastRun = last === undefined ? 'it never ran' : `run ${last.run} on ${last.target} ended ${last.end} at ${Math.round(last.endedAt)}`
      return { key, kind: 'lasting-task', idleSince: Math.max(acceptedAt, last?.endedAt ?? 0), lastRun, cpuMillis: [step.demand.cpuMillis], usedMaximum }
    })
  }
  if ([...running].some((task) => task.startsWith(`${id}.`))) return []
  const lastEnd = lastRuns.findLastEndOf(id)
  // The next occurrence is due at the latest this time after the last run.
  const idleSince = Math.max(acceptedAt, firstAtMs, lastEnd === undefined ? 0 : lastEnd + intervalMs)
  if (now < idleSince) return []
  const lastRun = lastEnd === undefined ? 'it never ran' : `a run last ended at ${Math.round(lastEnd)}`
  return [{ key: id, kind: 'job', idleSince, lastRun, cpuMillis: findWidest(steps), usedMaximum }]
}

/** Demands of the tasks that start together in the widest step. */
function findWidest (steps: readonly Step[]): readonly number[] {
  const demands = steps.map(({ gang, count, demand }) => Array.from({ length: gang ? count : 1 }, () => demand.cpuMillis))
  return demands.reduce((widest, other) => other.length > widest.length ? other : widest)
}
