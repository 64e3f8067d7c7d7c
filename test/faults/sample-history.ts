import type { Change } from '../../src/model/configuration.ts'
import { NO_RESOURCES, type Resources } from '../../src/model/resources.ts'
import type { SubmissionResponse } from '../../src/model/group-request.ts'
import type { TaskOutcome } from '../../src/model/work.ts'
import type { History, Observation, ObservationOf } from '../../faults/history.ts'

export const ONE_SLOT: Resources = { ...NO_RESOURCES, cpuMillis: 1000, slots: 1 }
const CAPACITY: Resources = { ...NO_RESOURCES, cpuMillis: 2000, slots: 2 }
const LIMIT: Resources = { ...NO_RESOURCES, cpuMillis: 3000, slots: 3 }

export function sent (at: number, call: string, overrides: Partial<ObservationOf<'caller-sent'>> = {}): Observation {
  return { at, type: 'caller-sent', call, token: `r-${call}`, member: 'm1', queue: 'q', key: 'k1', kind: 'request', idempotent: false, expected: `out-${call}`, deadlineAt: at + 5000, ...overrides }
}

export function answered (at: number, call: string, answer: SubmissionResponse = { type: 'succeeded', output: `out-${call}` }): Observation {
  return { at, type: 'caller-answered', call, answer }
}

export const NOT_RUN: SubmissionResponse = { type: 'refused', refusal: { reason: 'overloaded', retryAfterMs: 100 }, verdict: 'not-run' }

export function started (at: number, call: string, overrides: Partial<ObservationOf<'task-started'>> = {}): Observation {
  return { at, type: 'task-started', target: 't1', taskId: `g0-${call}/0`, attempt: 1, token: `r-${call}`, team: 'a', resources: ONE_SLOT, ...overrides }
}

export function ended (at: number, call: string, outcome: TaskOutcome = { type: 'succeeded', output: `out-${call}` }, overrides: Partial<ObservationOf<'task-ended'>> = {}): Observation {
  return { at, type: 'task-ended', target: 't1', taskId: `g0-${call}/0`, attempt: 1, outcome, ...overrides }
}

/** Creates a publication that is accepted 10 ms after its request. */
export function published (at: number, revision: number, changes: readonly Change[]): readonly Observation[] {
  const ask = `ask-${revision}-${at}`
  return [
    { at, type: 'publication-asked', ask, changes },
    { at: at + 10, type: 'publication-answered', ask, answer: { type: 'accepted', revision } }
  ]
}

export function shown (at: number, revision: number, overrides: Partial<ObservationOf<'configuration-shown'>> = {}): Observation {
  return { at, type: 'configuration-shown', member: 'm1', incarnation: 'i1', revision, fresh: true, digest: `d${revision}`, ...overrides }
}

export function createTeamChange (limit: Resources = LIMIT): Change {
  return { kind: 'team', name: 'a', value: { name: 'a', organisation: 'o', weight: 1, limit, waitingLimit: 100 } }
}

export const KEY_CHANGE: Change = { kind: 'key', name: 'k1', value: { id: 'k1', team: 'a', salt: '', hash: '' } }

/** Two targets in the domain `d1`, one in `d2`, the team `a` with its key, the queue `q` with keys, and an open queue. */
export const INITIAL_HISTORY: History = [
  ...['t1', 't2', 't3'].map((target): Observation => ({ at: 0, type: 'target-listed', target, failureDomain: target === 't3' ? 'd2' : 'd1', capacity: CAPACITY })),
  { at: 0, type: 'queue-defined', queue: 'q', open: false, team: 'a' },
  { at: 0, type: 'queue-defined', queue: 'public', open: true, team: 'a' },
  ...published(0, 1, [createTeamChange(), KEY_CHANGE])
]

/** Creates all observations of one call that succeeds. */
export function completedCall (at: number, call: string): History {
  return [sent(at, call), started(at + 5, call), ended(at + 50, call), answered(at + 52, call)]
}
