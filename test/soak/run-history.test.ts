import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { WorkerOutcome } from '../../platform/standin/worker-run.ts'
import type { WorkerEvent } from '../../platform/standin/worker-server.ts'
import { RunHistory } from '../../soak/run-history.ts'

type HistoryEntry =
  | { readonly at: number, readonly worker: string, readonly event: WorkerEvent }
  | { readonly at: number, readonly caller: 'refused' | 'cancelled' | 'completed' | 'failed' | 'absent' }
  | { readonly at: number, readonly evacuated: string }
  | { readonly at: number, readonly disruption: 'begins' | 'ends' }
  | { readonly at: number, readonly sentAt: number }

function startedEvent (task: string, run = 1): WorkerEvent {
  return { type: 'started', task, run }
}

function endedEvent (task: string, outcome: WorkerOutcome, run = 1): WorkerEvent {
  return { type: 'ended', task, run, outcome }
}

function acknowledgedEvent (task: string, outcome: WorkerOutcome, run = 1, leaseLapsed = false): WorkerEvent {
  return { type: 'acknowledged', task, run, outcome, leaseLapsed }
}

const twoFailedAttempts: readonly HistoryEntry[] = [1, 2].flatMap((run) => [
  { at: run, worker: 'w1', event: startedEvent('a.0.0.0', run) },
  { at: run, worker: 'w1', event: endedEvent('a.0.0.0', 'failed', run) },
  { at: run, worker: 'w1', event: acknowledgedEvent('a.0.0.0', 'failed', run) }
])

const startAfterDone: readonly HistoryEntry[] = [
  { at: 0, worker: 'w1', event: startedEvent('a.0.0.0') },
  { at: 1, worker: 'w1', event: endedEvent('a.0.0.0', 'done') },
  { at: 2, worker: 'w2', event: startedEvent('a.0.0.0', 2) }
]

const histories: ReadonlyArray<{ readonly scenario: string, readonly entries: readonly HistoryEntry[], readonly breach: RegExp | undefined }> = [
  { scenario: 'two concurrent runs of a task', entries: [{ at: 0, worker: 'w1', event: startedEvent('a.0.0.0') }, { at: 1, worker: 'w2', event: startedEvent('a.0.0.0', 2) }], breach: /^TWICE/ },
  { scenario: 'a start after an acknowledged completion', entries: [{ at: 0, worker: 'w1', event: startedEvent('a.0.0.0') }, { at: 1, worker: 'w1', event: endedEvent('a.0.0.0', 'done') }, { at: 2, worker: 'w1', event: acknowledgedEvent('a.0.0.0', 'done') }, { at: 3, worker: 'w2', event: startedEvent('a.0.0.0', 2) }], breach: /^TWICE/ },
  { scenario: 'a start after a completion that is acknowledged later', entries: [...startAfterDone, { at: 3, worker: 'w1', event: acknowledgedEvent('a.0.0.0', 'done') }], breach: /^TWICE.*run 2 on w2.*after run 1 on w1/ },
  { scenario: 'a start after a completion that is not acknowledged is allowed', entries: [...startAfterDone, { at: 3, worker: 'w1', event: { type: 'crashed' } }, { at: 4, worker: 'w2', event: endedEvent('a.0.0.0', 'done', 2) }, { at: 5, worker: 'w2', event: acknowledgedEvent('a.0.0.0', 'done', 2) }], breach: undefined },
  { scenario: 'a start after a completion that is acknowledged after the lease has lapsed is allowed', entries: [...startAfterDone, { at: 3, worker: 'w1', event: acknowledgedEvent('a.0.0.0', 'done', 1, true) }], breach: undefined },
  { scenario: 'a request that ends without an answer in calm time', entries: [{ at: 0, disruption: 'begins' }, { at: 1_000, disruption: 'ends' }, { at: 4_500, sentAt: 4_100 }], breach: /^LOST: GET \/a ended without an answer after 400 ms/ },
  { scenario: 'a request that ends without an answer at once is allowed', entries: [{ at: 4_250, sentAt: 4_100 }], breach: undefined },
  { scenario: 'a request that ends without an answer soon after a disruption is allowed', entries: [{ at: 0, disruption: 'begins' }, { at: 1_000, disruption: 'ends' }, { at: 4_400, sentAt: 3_900 }], breach: undefined },
  { scenario: 'a request that ends without an answer in a disruption is allowed', entries: [{ at: 0, disruption: 'begins' }, { at: 4_400, sentAt: 3_900 }], breach: undefined },
  { scenario: 'a second run after a crash is allowed', entries: [{ at: 0, worker: 'w1', event: startedEvent('a.0.0.0') }, { at: 1, worker: 'w1', event: { type: 'crashed' } }, { at: 2, worker: 'w2', event: startedEvent('a.0.0.0', 2) }], breach: undefined },
  { scenario: 'a start beyond the capacity of the worker', entries: [{ at: 0, worker: 'w1', event: startedEvent('a.0.0.0') }, { at: 1, worker: 'w1', event: startedEvent('a.0.0.1') }, { at: 2, worker: 'w1', event: startedEvent('a.0.0.2') }], breach: /^LIMIT/ },
  { scenario: 'a start before the preceding step has completed', entries: [{ at: 0, worker: 'w1', event: startedEvent('a.0.1.0') }], breach: /^ORDER/ },
  { scenario: 'a start of a job that was not submitted', entries: [{ at: 0, worker: 'w1', event: startedEvent('b.0.0.0') }], breach: /^UNASKED/ },
  { scenario: 'a start long after the cancellation', entries: [{ at: 0, caller: 'cancelled' }, { at: 4_000, worker: 'w1', event: startedEvent('a.0.0.0') }], breach: /^UNASKED/ },
  { scenario: 'a start of a refused job', entries: [{ at: 0, caller: 'refused' }, { at: 1, worker: 'w1', event: startedEvent('a.0.0.0') }], breach: /^REFUSED/ },
  { scenario: 'a refusal of a job that has started', entries: [{ at: 0, worker: 'w1', event: startedEvent('a.0.0.0') }, { at: 1, caller: 'refused' }], breach: /^REFUSED/ },
  { scenario: 'a start after the last attempt', entries: [...twoFailedAttempts, { at: 5, worker: 'w1', event: startedEvent('a.0.0.0', 3) }], breach: /^BUDGET/ },
  { scenario: 'a job that is shown as failed after its last attempt is allowed', entries: [...twoFailedAttempts, { at: 5, caller: 'failed' }], breach: undefined },
  { scenario: 'a job that is shown as failed too early', entries: [{ at: 5, caller: 'failed' }], breach: /^LOST/ },
  { scenario: 'a job that is shown as completed too early', entries: [{ at: 5, caller: 'completed' }], breach: /^MIXED/ },
  { scenario: 'an accepted job that is not known', entries: [{ at: 5, caller: 'absent' }], breach: /^LOST/ },
  { scenario: 'a start in an evacuated failure domain', entries: [{ at: 0, evacuated: 'west' }, { at: 6_000, worker: 'w1', event: startedEvent('a.0.0.0') }], breach: /^EVAC/ }
]

for (const { scenario, entries, breach } of histories) {
  test(`soak history: ${scenario}${breach === undefined ? '' : ' is reported'}`, () => {
    const history = RunHistory.create(2_000, () => 'west')
    history.recordSubmission({ id: 'a', counts: [3, 1], cpuMillis: 1_000, maxAttempts: 2 })
    for (const entry of entries) {
      if ('worker' in entry) history.recordWorkerEvent(entry.worker, entry.event, entry.at)
      else if ('evacuated' in entry) history.recordEvacuation(entry.evacuated, entry.at)
      else if ('disruption' in entry) history.recordDisruption(entry.at, entry.disruption === 'ends')
      else if ('sentAt' in entry) history.recordBrokenRequest('GET /a', entry.sentAt, entry.at)
      else if (entry.caller === 'refused') history.recordRefusal('a')
      else if (entry.caller === 'cancelled') history.recordCancellation('a', entry.at)
      else history.recordState('a', entry.caller)
    }
    if (breach === undefined) assert.deepEqual(history.breaches, [])
    else assert.match(history.breaches[0] ?? '', breach)
  })
}
