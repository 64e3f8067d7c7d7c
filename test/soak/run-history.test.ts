import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { WorkerOutcome } from '../../platform/standin/worker-run.ts'
import type { WorkerEvent } from '../../platform/standin/worker-server.ts'
import { RunHistory } from '../../soak/run-history.ts'
import type { SoakJob } from '../../soak/soak-jobs.ts'

type HistoryEntry =
  | { readonly at: number, readonly worker: string, readonly event: WorkerEvent }
  | { readonly at: number, readonly caller: 'refused' | 'cancelled' | 'completed' | 'failed' | 'absent' }
  | { readonly at: number, readonly evacuated: string }
  | { readonly at: number, readonly disruption: 'begins' | 'ends' }
  | { readonly at: number, readonly sentAt: number }

function startedEvent (task: string, run = 1, lateByMs?: number): WorkerEvent {
  return { type: 'started', task, run, ...(lateByMs === undefined ? {} : { lateByMs }) }
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
  { scenario: 'a start after a completion that is acknowledged later', entries: [...startAfterDone, { at: 3, worker: 'w1', event: acknowledgedEvent('a.0.0.0', 'done') }], breach: /^TWICE.*run 2 of term 1 on w2.*after run 1 of term 1 on w1/ },
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
  { scenario: 'a start in an evacuated failure domain', entries: [{ at: 0, evacuated: 'west' }, { at: 6_000, worker: 'w1', event: startedEvent('a.0.0.0') }], breach: /^EVAC/ },
  { scenario: 'a late start in an evacuated failure domain is allowed', entries: [{ at: 0, evacuated: 'west' }, { at: 6_000, worker: 'w1', event: startedEvent('a.0.0.0', 1, 4_000) }], breach: undefined },
  { scenario: 'a late start long after the cancellation is allowed', entries: [{ at: 0, caller: 'cancelled' }, { at: 4_000, worker: 'w1', event: startedEvent('a.0.0.0', 1, 3_500) }], breach: undefined },
  { scenario: 'a start with the checkpoint of another task', entries: [{ at: 0, worker: 'w1', event: { type: 'started', task: 'a.0.0.0', run: 1, foreignCheckpoint: '000003e800000000' } }], breach: /^UNASKED.*000003e800000000/ },
  { scenario: 'a start of a task beyond the count of its step', entries: [{ at: 0, worker: 'w1', event: startedEvent('a.0.0.3') }], breach: /^UNASKED/ },
  { scenario: 'two concurrent runs of a task on one worker', entries: [{ at: 0, worker: 'w1', event: startedEvent('a.0.0.0') }, { at: 1, worker: 'w1', event: startedEvent('a.0.0.0', 2) }], breach: /^TWICE/ },
  { scenario: 'a concurrent run whose order was held up, with its age and term,', entries: [{ at: 0, worker: 'w1', event: startedEvent('a.0.0.0', 1_000_004) }, { at: 1, worker: 'w2', event: startedEvent('a.0.0.0', 1_000_000, 4_200) }], breach: /^TWICE: a\.0\.0\.0 run 1000000 of term 1 on w2, whose order was held up for 4200 ms starts concurrently with run 1000004 of term 2 on w1/ },
  { scenario: 'a late start after an acknowledged completion', entries: [{ at: 0, worker: 'w1', event: startedEvent('a.0.0.0') }, { at: 1, worker: 'w1', event: endedEvent('a.0.0.0', 'done') }, { at: 2, worker: 'w1', event: acknowledgedEvent('a.0.0.0', 'done') }, { at: 3, worker: 'w2', event: startedEvent('a.0.0.0', 2, 2_500) }], breach: /^TWICE.*held up for 2500 ms/ }
]

const lapsedAcknowledgement: readonly HistoryEntry[] = [
  { at: 0, worker: 'w1', event: startedEvent('a.0.0.0') },
  { at: 1, worker: 'w1', event: endedEvent('a.0.0.0', 'done') },
  { at: 2, worker: 'w1', event: acknowledgedEvent('a.0.0.0', 'done', 1, true) }
]

const GANG_MEMBERS = ['g.0.0.0', 'g.0.0.1']

const gangIsDone: readonly HistoryEntry[] = [
  ...GANG_MEMBERS.map((task, index) => ({ at: index, worker: `w${index}`, event: startedEvent(task) })),
  ...GANG_MEMBERS.map((task, index) => ({ at: 10, worker: `w${index}`, event: endedEvent(task, 'done') }))
]

const copyIsDone: readonly HistoryEntry[] = [
  { at: 0, worker: 'w1', event: startedEvent('s.0.0.0') },
  { at: 1, worker: 'w1', event: endedEvent('s.0.0.0', 'done') },
  { at: 2, worker: 'w1', event: acknowledgedEvent('s.0.0.0', 'done') }
]

const copyHasFailed: readonly HistoryEntry[] = [1, 2].flatMap((run) => [
  { at: run, worker: 'w1', event: startedEvent('s.0.0.0', run) },
  { at: run, worker: 'w1', event: endedEvent('s.0.0.0', 'failed', run) },
  { at: run, worker: 'w1', event: acknowledgedEvent('s.0.0.0', 'failed', run) }
])

const kinds: typeof histories = [
  { scenario: 'a start soon after the acknowledgement of a completion whose lease has lapsed is allowed', entries: [...lapsedAcknowledgement, { at: 900, worker: 'w2', event: startedEvent('a.0.0.0', 2) }], breach: undefined },
  { scenario: 'a start long after the acknowledgement of a completion whose lease has lapsed', entries: [...lapsedAcknowledgement, { at: 1_100, worker: 'w2', event: startedEvent('a.0.0.0', 2) }], breach: /^TWICE.*1098 ms after/ },
  { scenario: 'a late start after the acknowledgement of a completion whose lease has lapsed is allowed', entries: [...lapsedAcknowledgement, { at: 2_500, worker: 'w2', event: startedEvent('a.0.0.0', 2, 2_400) }], breach: undefined },
  { scenario: 'a start of a member after another member of its gang has ended as done, which is acknowledged later,', entries: [...gangIsDone, { at: 11, worker: 'w2', event: startedEvent('g.0.0.1', 2) }, { at: 12, worker: 'w0', event: acknowledgedEvent('g.0.0.0', 'done') }], breach: /^TWICE: g\.0\.0\.0 has started \(run 2 of term 1 on w2\)/ },
  { scenario: 'a start of a member after the completion of another member of its gang was acknowledged', entries: [...gangIsDone, { at: 11, worker: 'w0', event: acknowledgedEvent('g.0.0.0', 'done') }, { at: 12, worker: 'w2', event: startedEvent('g.0.0.1', 2) }], breach: /^TWICE: g\.0\.0\.1/ },
  { scenario: 'a start of a member after a completion that is not acknowledged is allowed', entries: [...gangIsDone, { at: 11, worker: 'w2', event: startedEvent('g.0.0.1', 2) }], breach: undefined },
  { scenario: 'concurrent copies of a task are allowed', entries: [{ at: 0, worker: 'w1', event: startedEvent('s.0.0.0') }, { at: 1, worker: 'w2', event: startedEvent('s.0.0.0', 2) }], breach: undefined },
  { scenario: 'a copy that starts soon after the acknowledged completion of another is allowed', entries: [...copyIsDone, { at: 900, worker: 'w2', event: startedEvent('s.0.0.0', 2) }], breach: undefined },
  { scenario: 'a copy that starts long after the acknowledged completion of another', entries: [...copyIsDone, { at: 1_100, worker: 'w2', event: startedEvent('s.0.0.0', 2) }], breach: /^TWICE.*1098 ms after/ },
  { scenario: 'a late copy after the acknowledged completion of another is allowed', entries: [...copyIsDone, { at: 2_500, worker: 'w2', event: startedEvent('s.0.0.0', 2, 2_400) }], breach: undefined },
  { scenario: 'a copy after the acknowledged completion of another in a disruption is allowed', entries: [...copyIsDone, { at: 1_000, disruption: 'begins' }, { at: 1_500, worker: 'w2', event: startedEvent('s.0.0.0', 2) }], breach: undefined },
  { scenario: 'a copy that starts soon after the last attempt is allowed', entries: [...copyHasFailed, { at: 900, worker: 'w2', event: startedEvent('s.0.0.0', 3) }], breach: undefined },
  { scenario: 'a copy that starts long after the last attempt', entries: [...copyHasFailed, { at: 1_100, worker: 'w2', event: startedEvent('s.0.0.0', 3) }], breach: /^BUDGET/ },
  { scenario: 'an occurrence that starts before it is due', entries: [{ at: 1_700, worker: 'w1', event: startedEvent('r.1.0.0') }], breach: /^ORDER.*300 ms before it is due/ },
  { scenario: 'occurrences that overlap are allowed', entries: [{ at: 1_000, worker: 'w1', event: startedEvent('r.0.0.0') }, { at: 1_800, worker: 'w2', event: startedEvent('r.1.0.0') }], breach: undefined },
  { scenario: 'a step of an occurrence that starts before the preceding step of the same occurrence is done', entries: [{ at: 1_000, worker: 'w1', event: startedEvent('r.0.0.0') }, { at: 1_500, worker: 'w1', event: endedEvent('r.0.0.0', 'done') }, { at: 2_000, worker: 'w1', event: startedEvent('r.1.1.0') }], breach: /^ORDER.*preceding step/ },
  { scenario: 'an occurrence that the job does not have', entries: [{ at: 9_000, worker: 'w1', event: startedEvent('r.2.0.0') }], breach: /^UNASKED/ },
  { scenario: 'a task beyond the limit of its step on one worker', entries: [{ at: 0, worker: 'w1', event: startedEvent('p.0.0.0') }, { at: 1, worker: 'w1', event: startedEvent('p.0.0.1') }], breach: /^ROUTE/ },
  { scenario: 'a task that lasts and starts again after it has failed is allowed', entries: [1, 2, 3].flatMap((run) => [{ at: run, worker: 'w1', event: startedEvent('p.0.0.0', run) }, { at: run, worker: 'w1', event: endedEvent('p.0.0.0', 'failed', run) }, { at: run, worker: 'w1', event: acknowledgedEvent('p.0.0.0', 'failed', run) }]), breach: undefined }
]

const JOB: SoakJob = { id: 'a', steps: [{ count: 3, cpuMillis: 1_000 }, { count: 1, cpuMillis: 1_000, after: 0 }], maxAttempts: 2, occurrences: 1, firstAtMs: 0, intervalMs: 0 }

const JOBS: readonly SoakJob[] = [
  JOB,
  { ...JOB, id: 'g', steps: [{ count: 2, cpuMillis: 1_000, gang: true }] },
  { ...JOB, id: 's', steps: [{ count: 1, cpuMillis: 1_000, speculative: true }] },
  { ...JOB, id: 'r', steps: [{ count: 1, cpuMillis: 1_000 }, { count: 1, cpuMillis: 1_000, after: 0 }], occurrences: 2, firstAtMs: 1_000, intervalMs: 1_000 },
  { ...JOB, id: 'p', steps: [{ count: 2, cpuMillis: 1_000, perTargetLimit: 1, longRunning: true }] }
]

for (const { scenario, entries, breach } of [...histories, ...kinds]) {
  test(`soak history: ${scenario}${breach === undefined ? '' : ' is reported'}`, () => {
    const history = RunHistory.create({ capacityCpuMillis: 2_000, getDomain: () => 'west', findWorkers: () => [] })
    for (const job of JOBS) history.recordSubmission(job)
    for (const entry of entries) {
      if ('worker' in entry) history.recordWorkerEvent(entry.worker, entry.event, entry.at)
      else if ('evacuated' in entry) history.recordEvacuation(entry.evacuated, entry.at)
      else if ('disruption' in entry) history.recordDisruption(entry.at, entry.disruption === 'ends')
      else if ('sentAt' in entry) history.recordBrokenRequest('GET /a', entry.sentAt, entry.at)
      else if (entry.caller === 'refused') history.recordRefusal('a')
      else if (entry.caller === 'cancelled') history.recordCancellation('a', entry.at)
      else history.recordState('a', entry.caller, entry.at)
    }
    if (breach === undefined) assert.deepEqual(history.breaches, [])
    else assert.match(history.breaches[0] ?? '', breach)
  })
}

// A breach that names no incarnations and leases can't be told from a start that was late without the logs.
test('soak history: two concurrent runs are reported with the incarnations of their workers and the leases at their starts and now', () => {
  const lives = new Map([['w1', { startedAtMs: 1_000, leaseEndsAtMs: 10_000 }], ['w2', { startedAtMs: 2_000, leaseEndsAtMs: 7_500 }]])
  const history = RunHistory.create({ capacityCpuMillis: 2_000, getDomain: () => 'west', findWorkers: () => [], findIncarnation: (worker) => lives.get(worker) })
  history.recordSubmission(JOB)
  history.recordWorkerEvent('w1', startedEvent('a.0.0.0'), 500)
  lives.set('w1', { startedAtMs: 1_000, leaseEndsAtMs: 10_400 })
  history.recordWorkerEvent('w2', startedEvent('a.0.0.0', 1_000_001), 4_000)
  assert.match(history.breaches[0]!, /^TWICE: a\.0\.0\.0 run 1000001 of term 2 on w2 \(on the incarnation since 1970-01-01T00:00:02\.000Z, with a lease of 3500 ms at its start\) starts concurrently with run 1 of term 1 on w1 \(on the incarnation since 1970-01-01T00:00:01\.000Z, with a lease of 9500 ms at its start and 6400 ms left\), started 3500 ms before/)
})

type LastingEntry =
  | { readonly at: number, readonly worker: string, readonly event: WorkerEvent }
  | { readonly at: number, readonly caller: 'accepted' | 'cancelled', readonly job?: string }
  | { readonly at: number, readonly evacuated: string }
  | { readonly at: number, readonly fault: 'begins' | 'ends' }
  | { readonly at: number, readonly available: readonly string[] }

type LastingCase = { readonly scenario: string, readonly entries: readonly LastingEntry[], readonly until: number, readonly breaches: readonly RegExp[] }

const CHECK_INTERVAL_MS = 100

/** A task that lasts, whose worker crashes after a second. Its two workers have room for two tasks each. */
const workerCrashes: readonly LastingEntry[] = [
  { at: 0, caller: 'accepted' },
  { at: 0, worker: 'w3', event: startedEvent('l.0.0.0') },
  { at: 1_000, worker: 'w3', event: { type: 'crashed' } }
]

const NO_RUN = /^LOST: l\.0\.0\.0 has had no run for 9\.[0-9] s since run 1 of term 1 on w3 ended as died/

const lastingCases: readonly LastingCase[] = [
  { scenario: 'nine seconds without a run after its worker has crashed', entries: workerCrashes, until: 10_200, breaches: [NO_RUN] },
  { scenario: 'nine seconds without a run after its lease has lapsed', entries: [...workerCrashes.slice(0, 2), { at: 1_000, worker: 'w3', event: endedEvent('l.0.0.0', 'lapsed') }], until: 10_200, breaches: [/on w3 ended as lapsed/] },
  { scenario: 'the whole time without a run', entries: [...workerCrashes, { at: 13_000, worker: 'w1', event: startedEvent('l.0.0.0', 2) }], until: 15_000, breaches: [/has had no run for 12\.0 s/] },
  { scenario: 'each time without a run', entries: [...workerCrashes, { at: 11_000, worker: 'w1', event: startedEvent('l.0.0.0', 2) }, { at: 12_000, worker: 'w1', event: { type: 'crashed' } }], until: 21_200, breaches: [/10\.0 s since run 1 /, /9\.[0-9] s since run 2 .* on w1/] },
  { scenario: 'no run while another task of its job has one', entries: [...workerCrashes, { at: 2_000, worker: 'w1', event: startedEvent('l.0.0.1') }], until: 10_200, breaches: [NO_RUN] },
  { scenario: 'no run while the service is full but for the task twice over', entries: [...workerCrashes, { at: 2_000, worker: 'w1', event: startedEvent('a.0.0.0') }, { at: 2_000, worker: 'w2', event: startedEvent('a.0.0.1') }], until: 10_200, breaches: [NO_RUN] },
  { scenario: 'no run seven seconds after a fault', entries: [...workerCrashes, { at: 2_000, fault: 'begins' }, { at: 3_500, fault: 'ends' }], until: 10_700, breaches: [/9\.[0-9] s since/] },
  { scenario: 'no run for three seconds since there is room again', entries: [...workerCrashes, { at: 1_500, available: [] }, { at: 12_000, available: ['w1'] }], until: 15_200, breaches: [/14\.[0-9] s since/] },
  { scenario: 'nothing in the first nine seconds', entries: workerCrashes, until: 9_900, breaches: [] },
  { scenario: 'nothing if it has a run again before', entries: [...workerCrashes, { at: 9_900, worker: 'w1', event: startedEvent('l.0.0.0', 2) }], until: 20_000, breaches: [] },
  { scenario: 'nothing in the seven seconds after a fault', entries: [...workerCrashes, { at: 2_000, fault: 'begins' }, { at: 3_500, fault: 'ends' }], until: 10_400, breaches: [] },
  { scenario: 'nothing during a fault', entries: [...workerCrashes, { at: 2_000, fault: 'begins' }], until: 20_000, breaches: [] },
  { scenario: 'nothing while one of two faults lasts', entries: [...workerCrashes, { at: 2_000, fault: 'begins' }, { at: 2_000, fault: 'begins' }, { at: 2_500, fault: 'ends' }], until: 20_000, breaches: [] },
  { scenario: 'nothing with room for one only', entries: [...workerCrashes, { at: 1_500, available: ['w1'] }, { at: 2_000, worker: 'w1', event: startedEvent('a.0.0.0') }], until: 20_000, breaches: [] },
  { scenario: 'nothing without an available worker', entries: [...workerCrashes, { at: 1_500, available: [] }], until: 20_000, breaches: [] },
  { scenario: 'nothing while its failure domain is evacuated', entries: [...workerCrashes, { at: 2_000, evacuated: 'west' }], until: 20_000, breaches: [] },
  { scenario: 'nothing before it has had room for three seconds on end', entries: [...workerCrashes, { at: 1_500, available: ['w1'] }, { at: 8_040, worker: 'w1', event: startedEvent('a.0.0.0') }, { at: 8_060, worker: 'w1', event: endedEvent('a.0.0.0', 'done') }], until: 11_000, breaches: [] },
  { scenario: 'nothing after the caller has begun to cancel its job', entries: [...workerCrashes, { at: 9_900, caller: 'cancelled' }], until: 20_000, breaches: [] },
  { scenario: 'nothing if its job was cancelled before', entries: [...workerCrashes.slice(0, 2), { at: 500, caller: 'cancelled' }, { at: 1_000, worker: 'w3', event: endedEvent('l.0.0.0', 'stopped') }], until: 20_000, breaches: [] },
  { scenario: 'nothing if its job was not accepted', entries: workerCrashes.slice(1), until: 20_000, breaches: [] },
  { scenario: 'nothing if it has never had a run', entries: workerCrashes.slice(0, 1), until: 20_000, breaches: [] },
  { scenario: 'nothing but the second run while another of its runs is present', entries: [...workerCrashes.slice(0, 2), { at: 500, worker: 'w1', event: startedEvent('l.0.0.0', 2) }, { at: 1_000, worker: 'w3', event: { type: 'crashed' } }], until: 20_000, breaches: [/^TWICE/] },
  { scenario: 'nothing where the limit of its step leaves room for one only', entries: [{ at: 0, caller: 'accepted', job: 'p' }, { at: 0, worker: 'w3', event: startedEvent('p.0.0.0') }, { at: 500, worker: 'w1', event: startedEvent('p.0.0.1') }, { at: 1_000, worker: 'w3', event: { type: 'crashed' } }], until: 20_000, breaches: [] },
  { scenario: 'nothing of a task that does not last', entries: [{ at: 0, caller: 'accepted', job: 'a' }, { at: 0, worker: 'w3', event: startedEvent('a.0.0.0') }, { at: 1_000, worker: 'w3', event: { type: 'crashed' } }], until: 20_000, breaches: [] }
]

const LASTING_JOB: SoakJob = { ...JOB, id: 'l', steps: [{ count: 2, cpuMillis: 1_000, longRunning: true }] }

/** Plays the entries and checks the tasks that last at every interval until the given time. */
function playLastingCase ({ entries, until }: LastingCase): RunHistory {
  let workers: readonly string[] = ['w1', 'w2']
  const history = RunHistory.create({ capacityCpuMillis: 2_000, getDomain: () => 'west', findWorkers: () => workers })
  for (const job of [...JOBS, LASTING_JOB]) history.recordSubmission(job)
  const pending = [...entries]
  for (let nowMs = 0; nowMs <= until; nowMs += CHECK_INTERVAL_MS) {
    for (; pending.length > 0 && pending[0]!.at <= nowMs; pending.shift()) {
      const entry = pending[0]!
      if ('worker' in entry) history.recordWorkerEvent(entry.worker, entry.event, entry.at)
      else if ('fault' in entry) history.recordFault(entry.at, entry.fault)
      else if ('available' in entry) workers = entry.available
      else if ('evacuated' in entry) history.recordEvacuation(entry.evacuated, entry.at)
      else if (entry.caller === 'accepted') history.recordAcceptance(entry.job ?? LASTING_JOB.id)
      else history.recordCancellation(LASTING_JOB.id, Infinity)
    }
    history.checkLastingTasks(nowMs)
  }
  return history
}

for (const lastingCase of lastingCases) {
  test(`soak history: of a task that lasts, ${lastingCase.scenario} is reported`, () => {
    const { breaches } = playLastingCase(lastingCase)
    assert.equal(breaches.length, lastingCase.breaches.length, breaches.join('\n'))
    for (const [index, breach] of lastingCase.breaches.entries()) assert.match(breaches[index]!, breach)
  })
}

test('soak history: the longest time without a run is known, also if it was no breach', () => {
  const entries: readonly LastingEntry[] = [...workerCrashes, { at: 2_000, fault: 'begins' }, { at: 8_000, worker: 'w1', event: startedEvent('l.0.0.0', 2) }]
  assert.equal(playLastingCase({ scenario: '', entries, until: 9_000, breaches: [] }).longestGapMs, 7_000)
})
