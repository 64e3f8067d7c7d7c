import type { PassWork } from '../workflow/cell-state.ts'
import type { CellSummary } from '../workflow/cell-summary.ts'
import type { AdviceDispatcher } from './advice/advice-dispatcher.ts'
import type { CommandCounts } from './commands/command-load.ts'
import type { Reporter } from './reporter.ts'

const SUMMARY_INTERVAL_MS = 2_000
const US_PER_MS = 1_000

/** State of a leader at the time of a summary. */
export type LeaderState = {
  readonly cell: CellSummary
  /** Work of the scheduling passes since the last summary. */
  readonly passWork: Readonly<PassWork>
  /** Starts and stops since the last summary. */
  readonly commands: CommandCounts
  /** Targets that did not respond through a relay and are called through another one, or by this process. */
  readonly detours: number
  readonly members: number
  readonly adviceDispatcher: Pick<AdviceDispatcher, 'channelCount' | 'busyCount' | 'pausedCount' | 'queuedCount'>
}

/** Writes a summary of the cell and of the leader's own load to the log at regular intervals. */
export class SummaryLog {
  private lastWrittenAt = 0
  /** Duration of the longest scheduling pass since the last summary. */
  private longestPassMs = 0
  /** Processor time of this process at the last summary. */
  private processorUsage = process.cpuUsage()

  private constructor (private readonly reporter: Reporter) {}

  /**
   * Creates a log whose first summary is due at once.
   *
   * @example
   * const summaryLog = SummaryLog.create(reporter)
   * summaryLog.recordPass(2.5)
   * summaryLog.writeIfDue(() => ({ cell: scheduler.summary, passWork: scheduler.takePassWork(), commands: load.take(), detours: 0, members: 7, adviceDispatcher }))
   */
  static create (reporter: Reporter): SummaryLog {
    return new SummaryLog(reporter)
  }

  /** Records the duration of a scheduling pass. */
  recordPass (durationMs: number): void {
    this.longestPassMs = Math.max(this.longestPassMs, durationMs)
  }

  /** Writes a summary if the last one is old enough; the state is read only then, because that takes time. */
  writeIfDue (readState: () => LeaderState): void {
    if (performance.now() - this.lastWrittenAt <= SUMMARY_INTERVAL_MS) return
    this.lastWrittenAt = performance.now()
    const { cell, passWork: { passes, steps, targets }, commands, detours, members, adviceDispatcher } = readState()
    const { channelCount, busyCount, pausedCount, queuedCount } = adviceDispatcher
    const processor = process.cpuUsage(this.processorUsage)
    this.processorUsage = process.cpuUsage()
    const work = { passes, examinedSteps: steps, examinedTargets: targets, longestPassMs: Math.round(this.longestPassMs), processorMs: Math.round((processor.user + processor.system) / US_PER_MS) }
    this.longestPassMs = 0
    const channels = { adviceChannels: channelCount, adviceBusy: busyCount, advicePaused: pausedCount, adviceWaiting: queuedCount }
    const sending = { commandsSent: commands.sent, commandsResent: commands.resent, commandsUnanswered: commands.unanswered, detours }
    this.reporter.log('info', 'cell-summary', { ...cell, ...work, ...sending, members, ...channels })
  }
}
