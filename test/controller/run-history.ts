import type { SimulatedTarget } from '../workflow/simulated-target.ts'

/** A run that was done. `lapsed`: its target's lease ended before the end was acknowledged, so that it is never taken note of. */
type EndedRun = { readonly task: string, readonly run: number, readonly at: number, readonly target: string, state: 'listed' | 'acknowledged' | 'lapsed' }

/** What targets have started and ended. Reports tasks that ran twice, and starts of a leader that counts as stopped. */
export class RunHistory {
  starts = 0
  private readonly endedRuns: EndedRun[] = []
  private readonly startsAfterEnd: Array<{ readonly ended: EndedRun, readonly text: string }> = []
  /** Latest term whose leader took all runs of the terms before for known or lapsed. */
  private settledTerm = 0

  private constructor (private readonly onViolation: (text: string) => void) {}

  static create (onViolation: (text: string) => void): RunHistory {
    return new RunHistory(onViolation)
  }

  recordSettled (term: number): void {
    this.settledTerm = Math.max(this.settledTerm, term)
  }

  /** Records an accepted start, before its target knows the run. */
  recordStart (task: string, run: number, epoch: number, target: SimulatedTarget, targets: Iterable<SimulatedTarget>, now: number): void {
    this.starts += 1
    if (epoch < this.settledTerm) this.onViolation(`${task}#${run} of term ${epoch} started on ${target.id} after term ${this.settledTerm} took the terms before for over`)
    for (const other of targets) {
      if (other === target) continue
      other.completeDueRuns(now)
      const running = other.runs.get(task)
      if (running !== undefined) this.onViolation(`${task} runs twice: #${running.run} on ${other.id} since ${Math.round(running.startedAt)}, #${run} of term ${epoch} on ${target.id}`)
    }
    for (const ended of this.endedRuns) {
      if (ended.task === task && ended.state !== 'lapsed') this.startsAfterEnd.push({ ended, text: `${task}#${run} of term ${epoch} started on ${target.id} after #${ended.run} was done at ${Math.round(ended.at)}` })
    }
  }

  recordDone (task: string, run: number, target: string, now: number): void {
    this.endedRuns.push({ task, run, at: now, target, state: 'listed' })
  }

  recordAcknowledged (task: string, run: number): void {
    for (const ended of this.endedRuns) {
      if (ended.task === task && ended.run === run && ended.state === 'listed') ended.state = 'acknowledged'
    }
  }

  /** The lease of a target has ended. */
  recordLapse (target: string): void {
    for (const ended of this.endedRuns) {
      if (ended.target === target && ended.state === 'listed') ended.state = 'lapsed'
    }
  }

  /** Reports the starts after an end that was acknowledged then or later. */
  checkEnds (): void {
    for (const { ended, text } of this.startsAfterEnd) {
      if (ended.state === 'acknowledged') this.onViolation(text)
    }
  }
}
