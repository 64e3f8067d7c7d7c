import type { Profile, Team } from '../../src/model/configuration.ts'
import type { Resources } from '../../src/model/resources.ts'
import type { Target } from '../../src/model/target.ts'
import type { Work, WorkKind } from '../../src/model/work.ts'
import type { SchedulerEffect } from '../../src/scheduling/effect.ts'
import type { SchedulerEvent, TaskCompletion } from '../../src/scheduling/event.ts'
import type { SchedulerOptions } from '../../src/scheduling/options.ts'
import { Scheduler } from '../../src/scheduling/scheduler.ts'

/** An amount that no test uses up. */
export const UNLIMITED: Resources = { cpuMillis: 1e9, memoryMiB: 1e9, accelerators: 1e6, slots: 1e6, connections: 1e6 }

export function createAmount (slots: number, cpuMillis = 1000 * slots, accelerators = 0): Resources {
  return { cpuMillis, memoryMiB: 1024 * slots, accelerators, slots, connections: slots }
}

export function createTarget (id: string, changes: Partial<Target> = {}): Target {
  const capacity = { cpuMillis: 16_000, memoryMiB: 65_536, accelerators: 0, slots: 8, connections: 60 }
  return { id, host: id, address: '', failureDomain: 'a', rack: 'r1', capacity, state: 'live', ...changes }
}

export function createTeam (name: string, changes: Partial<Team> = {}): Team {
  return { name, organisation: `org-${name}`, weight: 1, limit: UNLIMITED, waitingLimit: 100_000, ...changes }
}

export function createWork (id: string, kind: WorkKind, changes: Partial<Work> = {}): Work {
  return {
    id,
    team: 'sewing',
    queue: 'main',
    family: 'cut',
    resources: createAmount(1),
    expectedMs: 0,
    urgent: false,
    idempotent: true,
    submittedAt: 0,
    payload: null,
    ...changes,
    ...kind
  } as Work
}

/** A scheduler with a clock and a record of the tasks that its effects started and stopped, as a group would keep it. */
export class SchedulerHarness {
  now = 0
  readonly scheduler: Scheduler
  /** Running tasks with their targets. */
  readonly running = new Map<string, string>()
  /** Tasks for which a stop was sent, and whether they run again. */
  readonly stopRequests = new Map<string, boolean>()
  readonly effects: SchedulerEffect[] = []

  constructor (teams: readonly Team[], targets: readonly Target[], options: Partial<SchedulerOptions> = {}, weighs: Profile['weighs'] = 'packing') {
    this.scheduler = Scheduler.create(options)
    const organisations = [...new Set(teams.map((entry) => entry.organisation))].map((name) => ({ name, weight: 1 }))
    this.apply({ type: 'teams-changed', organisations, teams, profile: { name: 'profile', weighs } })
    for (const entry of teams) this.apply({ type: 'grant-changed', team: entry.name, amount: entry.limit })
    for (const entry of targets) this.apply({ type: 'target-upserted', target: entry })
  }

  apply (event: DistributiveOmit<SchedulerEvent, 'now'>): readonly SchedulerEffect[] {
    const effects = this.scheduler.apply({ ...event, now: this.now } as SchedulerEvent)
    for (const effect of effects) {
      this.effects.push(effect)
      if (effect.type === 'stop') this.stopRequests.set(effect.taskId, effect.cause !== 'cancelled')
      if (effect.type === 'start') this.running.set(effect.taskId, effect.targetId)
    }
    return effects
  }

  submit (...works: readonly Work[]): void {
    for (const entry of works) this.apply({ type: 'work-submitted', work: entry })
  }

  endTask (taskId: string, completion: TaskCompletion = 'succeeded', mustRunAgain = false): readonly SchedulerEffect[] {
    const targetId = this.running.get(taskId)!
    this.running.delete(taskId)
    this.stopRequests.delete(taskId)
    return this.apply({ type: 'task-ended', taskId, targetId, completion, mustRunAgain })
  }

  /** Advances the time in ticks of 100 ms; with `endStopped`, ends the tasks for which a stop was sent after each tick. */
  advanceTime (durationMs: number, endStopped = true): readonly SchedulerEffect[] {
    const first = this.effects.length
    for (const until = this.now + durationMs; this.now < until;) {
      this.now += 100
      this.apply({ type: 'tick' })
      if (endStopped) this.endStoppedTasks()
    }
    return this.effects.slice(first)
  }

  /** Ends every task for which a stop was sent. */
  endStoppedTasks (): void {
    for (const [taskId, again] of this.stopRequests) {
      if (this.running.has(taskId)) this.endTask(taskId, 'stopped', again)
    }
  }

  getRunningTasks (prefix = ''): readonly string[] {
    return [...this.running.keys()].filter((id) => id.startsWith(prefix))
  }

  getRejectionReason (id: string): string | undefined {
    const found = this.effects.find((effect) => effect.type === 'reject' && effect.work === id)
    return found?.type === 'reject' ? found.refusal.reason : undefined
  }
}

type DistributiveOmit<Union, Key extends PropertyKey> = Union extends unknown ? Omit<Union, Key> : never
