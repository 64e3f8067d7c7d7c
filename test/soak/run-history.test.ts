import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { WorkerEvent } from '../../platform/standin/worker-server.ts'
import { RunHistory } from '../../soak/run-history.ts'

type Entry =
  | { readonly at: number, readonly worker: string, readonly event: WorkerEvent }
  | { readonly at: number, readonly caller: 'refused' | 'cancelled' | 'completed' | 'failed' | 'absent' }
  | { readonly at: number, readonly out: string }

function started (task: string, run = 1): WorkerEvent {
  return { type: 'started', task, run }
}

function ended (task: string, how: string, run = 1): WorkerEvent {
  return { type: 'ended', task, run, outcome: how }
}

function acknowledged (task: string, how: string, run = 1): WorkerEvent {
  return { type: 'acknowledged', task, run, outcome: how }
}

const failedTwice: readonly Entry[] = [1, 2].flatMap((run) => [
  { at: run, worker: 'w1', event: started('a.0.0.0', run) },
  { at: run, worker: 'w1', event: ended('a.0.0.0', 'failed', run) },
  { at: run, worker: 'w1', event: acknowledged('a.0.0.0', 'failed', run) }
])

const histories: ReadonlyArray<{ readonly guards: string, readonly entries: readonly Entry[], readonly breach: RegExp | undefined }> = [
  { guards: 'two runs of a task at a time', entries: [{ at: 0, worker: 'w1', event: started('a.0.0.0') }, { at: 1, worker: 'w2', event: started('a.0.0.0', 2) }], breach: /^TWICE/ },
  { guards: 'a start after an end that was taken note of', entries: [{ at: 0, worker: 'w1', event: started('a.0.0.0') }, { at: 1, worker: 'w1', event: ended('a.0.0.0', 'done') }, { at: 2, worker: 'w1', event: acknowledged('a.0.0.0', 'done') }, { at: 3, worker: 'w2', event: started('a.0.0.0', 2) }], breach: /^TWICE/ },
  { guards: 'a second run after a crash is allowed', entries: [{ at: 0, worker: 'w1', event: started('a.0.0.0') }, { at: 1, worker: 'w1', event: { type: 'crashed' } }, { at: 2, worker: 'w2', event: started('a.0.0.0', 2) }], breach: undefined },
  { guards: 'a start that does not fit', entries: [{ at: 0, worker: 'w1', event: started('a.0.0.0') }, { at: 1, worker: 'w1', event: started('a.0.0.1') }, { at: 2, worker: 'w1', event: started('a.0.0.2') }], breach: /^LIMIT/ },
  { guards: 'a start before the step before it has ended', entries: [{ at: 0, worker: 'w1', event: started('a.0.1.0') }], breach: /^ORDER/ },
  { guards: 'a start of a job that nobody submitted', entries: [{ at: 0, worker: 'w1', event: started('b.0.0.0') }], breach: /^UNASKED/ },
  { guards: 'a start long after the cancelling', entries: [{ at: 0, caller: 'cancelled' }, { at: 4_000, worker: 'w1', event: started('a.0.0.0') }], breach: /^UNASKED/ },
  { guards: 'a start of a refused job', entries: [{ at: 0, caller: 'refused' }, { at: 1, worker: 'w1', event: started('a.0.0.0') }], breach: /^REFUSED/ },
  { guards: 'a refusal of a job that has started', entries: [{ at: 0, worker: 'w1', event: started('a.0.0.0') }, { at: 1, caller: 'refused' }], breach: /^REFUSED/ },
  { guards: 'a start after the last attempt', entries: [...failedTwice, { at: 5, worker: 'w1', event: started('a.0.0.0', 3) }], breach: /^BUDGET/ },
  { guards: 'a job that is shown as failed after its last attempt is allowed', entries: [...failedTwice, { at: 5, caller: 'failed' }], breach: undefined },
  { guards: 'a job that is shown as failed too early', entries: [{ at: 5, caller: 'failed' }], breach: /^LOST/ },
  { guards: 'a job that is shown as completed too early', entries: [{ at: 5, caller: 'completed' }], breach: /^MIXED/ },
  { guards: 'an accepted job that is not known', entries: [{ at: 5, caller: 'absent' }], breach: /^LOST/ },
  { guards: 'a start in a failure domain that is out', entries: [{ at: 0, out: 'west' }, { at: 6_000, worker: 'w1', event: started('a.0.0.0') }], breach: /^EVAC/ }
]

for (const { guards, entries, breach } of histories) {
  test(`soak history: ${guards}${breach === undefined ? '' : ' is found'}`, () => {
    const history = RunHistory.create(2_000, () => 'west')
    history.noteSubmission({ id: 'a', counts: [3, 1], cpu: 1_000, maxAttempts: 2 })
    for (const entry of entries) {
      if ('worker' in entry) history.noteWorker(entry.worker, entry.event, entry.at)
      else if ('out' in entry) history.noteDomain(entry.out, entry.at)
      else if (entry.caller === 'refused') history.noteRefused('a')
      else if (entry.caller === 'cancelled') history.noteCancelled('a', entry.at)
      else history.noteState('a', entry.caller)
    }
    if (breach === undefined) assert.deepEqual(history.breaches, [])
    else assert.match(history.breaches[0] ?? '', breach)
  })
}
