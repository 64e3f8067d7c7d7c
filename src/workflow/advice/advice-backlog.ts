import { computeAdviceCostMs } from './advice-requests.ts'
import type { Queue } from '../settings/cell-configuration.ts'
import type { CellState } from '../cell-state.ts'
import { findQueue, log } from '../cell-state.ts'
import { needsAdvice } from '../room/placement.ts'
import type { Job, StepRun } from '../task.ts'

/** The wait for advice of jobs of a queue and an organisation, where it is long. */
export type Overload = {
  readonly queue: string
  readonly organisation: string
  /** Time that the channels need for what accepted jobs of this and more urgent queues wait for, in milliseconds. */
  readonly backlogMs: number
  /** The part of it that the organisation has caused, in milliseconds. */
  readonly ownMs: number
  /** Share of the organisation, as the ratio of its weight to those of all organisations. */
  readonly share: number
  /** Time that the channels need for the request of one more step, in milliseconds. */
  readonly stepMs: number
  readonly objective: Pick<Queue, 'stretch' | 'latencyObjectiveMs'>
}

/** A wait for a channel that every job can bear, in milliseconds. */
export const MIN_BEARABLE_WAIT_MS = 3_000
/** A backlog that the channels need less time for ends an overload, in milliseconds. */
const RECOVERED_BACKLOG_MS = 1_500
/** A backlog has to be large for this time before it counts, in milliseconds: a new owner first has one channel. */
const MIN_DURATION_MS = 2_000
const CHECK_INTERVAL_MS = 200

/**
 * Expected time until all requests of a further job have been answered, which take `costMs`. An organisation whose part of
 * the backlog is below its share waits as if the channels were divided by the shares, because its steps go first.
 */
export function computeWaitMs ({ backlogMs, ownMs, share }: Pick<Overload, 'backlogMs' | 'ownMs' | 'share'>, costMs: number): number {
  return Math.min(backlogMs + costMs, (ownMs + costMs) / share)
}

/** Work for the advisor that steps of one priority and organisation wait for, in milliseconds of all channels together. */
type Load = { readonly priority: number, readonly organisation: string, ms: number }

/** Work for the advisor that accepted jobs wait for. */
export class AdviceBacklog {
  private current: readonly Overload[] = []
  private totalMs = 0
  private checkAt = -Infinity
  /** By priority, since when the backlog has been too large, on the scheduler's clock. */
  private readonly exceededSince = new Map<number, number>()

  private constructor () {}

  static create (): AdviceBacklog {
    return new AdviceBacklog()
  }

  /** The long waits, as of the last check. */
  get overloads (): readonly Overload[] {
    return this.current
  }

  /** Time that the channels need for all requests that accepted jobs wait for, in milliseconds. */
  get backlogMs (): number {
    return this.totalMs
  }

  /** Measures the backlog, unless that was done a moment ago. */
  update (state: CellState): void {
    if (state.now < this.checkAt) return
    this.checkAt = state.now + CHECK_INTERVAL_MS
    const loads = measureLoads(state)
    this.totalMs = sumLoads(loads)
    const queues = (state.configuration?.queues ?? []).filter(({ advice }) => advice !== undefined)
    for (const priority of new Set(queues.map((queue) => queue.priority))) this.recordBacklog(state, priority, sumLoads(selectLoads(loads, priority)))
    const wasOverloaded = this.current.length > 0
    this.current = queues.flatMap((queue) => this.isOverloaded(state, queue.priority) ? findOverloads(state, queue, selectLoads(loads, queue.priority)) : [])
    state.pendingAdvice.overloaded = this.current.length > 0
    if (state.pendingAdvice.overloaded === wasOverloaded) return
    log(state, 'warn', wasOverloaded ? 'advice-overload-ended' : 'advice-overloaded', { backlogMs: Math.round(this.totalMs), channels: state.pendingAdvice.channels })
  }

  private recordBacklog (state: CellState, priority: number, backlogMs: number): void {
    const limitMs = this.isOverloaded(state, priority) ? RECOVERED_BACKLOG_MS : MIN_BEARABLE_WAIT_MS
    if (backlogMs <= limitMs) this.exceededSince.delete(priority)
    else if (!this.exceededSince.has(priority)) this.exceededSince.set(priority, state.now)
  }

  private isOverloaded (state: CellState, priority: number): boolean {
    return state.now - (this.exceededSince.get(priority) ?? state.now) >= MIN_DURATION_MS
  }
}

/** Measures the work of the steps that wait for a channel, and of the steps after them, which need one later. */
function measureLoads (state: CellState): readonly Load[] {
  const steps = [...state.openSteps].filter((step) => needsAdvice(state, step))
  const waitingJobs = new Set(steps.filter((step) => step.advice.waitsForChannelSince !== undefined).map(({ job }) => job))
  const loads = new Map<string, Load>()
  for (const step of steps) {
    if (!needsChannel(step, waitingJobs)) continue
    const { organisation } = step.job.definition
    const priority = findQueue(state, step.job.definition)?.priority ?? Infinity
    const load = loads.get(`${priority} ${organisation}`) ?? { priority, organisation, ms: 0 }
    load.ms += computeAdviceCostMs(state, step, step.spec.count) / countChannels(state)
    loads.set(`${priority} ${organisation}`, load)
  }
  return [...loads.values()]
}

/** A step that waits for capacity or for its organisation's maximum needs no channel now. */
function needsChannel (step: StepRun, waitingJobs: ReadonlySet<Job>): boolean {
  const { advice, job } = step
  if (advice.waitsForChannelSince !== undefined) return true
  return !step.ready && !advice.hasResponse && (job.phase === 'running' || waitingJobs.has(job))
}

/** Work that is served before further steps of the priority. */
function selectLoads (loads: readonly Load[], priority: number): readonly Load[] {
  return loads.filter((load) => load.priority <= priority)
}

function sumLoads (loads: readonly Load[]): number {
  return loads.reduce((sum, { ms }) => sum + ms, 0)
}

function countChannels (state: CellState): number {
  return Math.max(1, state.pendingAdvice.channels)
}

/** Finds the organisations of which further jobs would wait long. */
function findOverloads (state: CellState, { name, stretch, latencyObjectiveMs, advice }: Queue, loads: readonly Load[]): readonly Overload[] {
  if (advice === undefined) return []
  const backlogMs = sumLoads(loads)
  const stepMs = (advice.decisionMs + advice.perTargetMs) / countChannels(state)
  return [...new Set(loads.map(({ organisation }) => organisation))].flatMap((organisation) => {
    const ownMs = sumLoads(loads.filter((load) => load.organisation === organisation))
    const overload = { queue: name, organisation, backlogMs, ownMs, share: computeShare(state, organisation), stepMs, objective: { stretch, latencyObjectiveMs } }
    return computeWaitMs(overload, 0) <= MIN_BEARABLE_WAIT_MS ? [] : [overload]
  })
}

/** Share of an organisation, as the ratio of its weight to those of all organisations. */
function computeShare (state: CellState, organisation: string): number {
  const weights = (state.configuration?.organisations ?? []).reduce((sum, { weight }) => sum + weight, 0)
  const weight = state.organisations.find(organisation)?.weight ?? 1
  return weight / Math.max(weight, weights)
}
