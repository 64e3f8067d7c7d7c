/** A task that lasts is owed a run from this time after its last one, in milliseconds. */
const RESTART_TIME_MS = 6_000
/** What is owed a run must not wait so long on end, in milliseconds. */
const MAX_WAIT_MS = 3_000
/** The wait counts from this time after the last disturbance, in milliseconds. */
const CALM_BEFORE_MS = 4_000
/** Room is required for so many times what waits. */
const REQUIRED_ROOM = 2
/** An organisation that uses this ratio of its maximum is owed nothing; nor is a job that ends in a cell that is so full. */
const HALF = 0.5

/** A task that lasts, or a job whose tasks end, that has nothing running and is neither cancelled nor ended. */
export type WaitingWork = {
  /** Key of the task, or id of the job. */
  readonly key: string
  readonly kind: 'lasting-task' | 'job'
  /** When its last run ended or, before any, when it was accepted or due. */
  readonly idleSince: number
  /** The last run and how it ended, for the description. */
  readonly lastRun: string
  /** What runs at a time at least: a task, or all tasks of a gang. */
  readonly cpuMillis: readonly number[]
  /** Ratio of its organisation's maximum that is in use; 0 without a maximum. */
  readonly usedMaximum: number
}

/** What the targets of a cell show at a moment. */
export type CellView = {
  readonly now: number
  /** Whether a disturbance goes on, or has happened since the view before. */
  readonly disturbed: boolean
  readonly waiting: readonly WaitingWork[]
  /** Free capacity of each target that is up and takes tasks. */
  readonly freeCpuMillis: readonly number[]
  /** Ratio of the capacity of these targets that is in use. */
  readonly usedCapacity: number
}

type Overdue = { readonly at: number, readonly disturbedAt: number }

type Wait = { readonly work: WaitingWork, readonly owedSince: number, overdue: Overdue | undefined }

/**
 * Checks that what waits is started in time: a task that lasts from 6 s after its last run, another job at once, while there is
 * room for it twice over, and the wait and the 4 s before it are calm. Describes each wait that is too long in a text.
 */
export class LivenessCheck {
  readonly violations: string[] = []
  private readonly waits = new Map<string, Wait>()
  /** When the last disturbance was seen. */
  private disturbedAt = 0

  private constructor () {}

  static create (): LivenessCheck {
    return new LivenessCheck()
  }

  /** Checks one view; views must follow one another closely. */
  observe (view: CellView): void {
    if (view.disturbed) this.disturbedAt = view.now
    const waiting = new Map(view.waiting.map((work) => [`${work.key} ${work.idleSince}`, work]))
    for (const [key, wait] of [...this.waits]) {
      const work = waiting.get(key)
      if (work === undefined || (wait.overdue === undefined && !isOwed(work, view))) this.endWait(key, view.now)
    }
    for (const [key, work] of waiting) {
      if (isOwed(work, view)) this.checkWait(key, work, view.now)
    }
  }

  /** Describes the waits that have not ended. */
  finish (now: number): void {
    for (const key of [...this.waits.keys()]) this.endWait(key, now)
  }

  private checkWait (key: string, work: WaitingWork, now: number): void {
    const wait = this.waits.get(key) ?? { work, owedSince: now, overdue: undefined }
    this.waits.set(key, wait)
    const restartTimeMs = work.kind === 'lasting-task' ? RESTART_TIME_MS : 0
    const from = Math.max(wait.owedSince, work.idleSince + restartTimeMs, this.disturbedAt + CALM_BEFORE_MS)
    if (now - from >= MAX_WAIT_MS) wait.overdue ??= { at: now, disturbedAt: this.disturbedAt }
  }

  private endWait (key: string, now: number): void {
    const { work, overdue } = this.waits.get(key)!
    this.waits.delete(key)
    if (overdue === undefined) return
    const { kind, idleSince, lastRun } = work
    this.violations.push(`${kind} ${work.key} had nothing running for ${Math.round(now - idleSince)} ms until ${Math.round(now)}, overdue at ${Math.round(overdue.at)}, calm since ${Math.round(overdue.disturbedAt)}; ${lastRun}`)
  }
}

function isOwed ({ kind, cpuMillis, usedMaximum }: WaitingWork, { freeCpuMillis, usedCapacity }: CellView): boolean {
  if (usedMaximum >= HALF || (kind === 'job' && usedCapacity >= HALF)) return false
  return fits(Array.from({ length: REQUIRED_ROOM }, () => cpuMillis).flat(), freeCpuMillis)
}

/** Whether tasks of these demands fit on the targets at the same time. */
function fits (demands: readonly number[], freeCpuMillis: readonly number[]): boolean {
  const free = [...freeCpuMillis]
  for (const demand of [...demands].sort((left, right) => right - left)) {
    const index = free.findIndex((amount) => amount >= demand)
    if (index === -1) return false
    free[index]! -= demand
  }
  return true
}
