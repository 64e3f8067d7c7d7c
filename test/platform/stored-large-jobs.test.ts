import assert from 'node:assert/strict'
import { writeFileSync } from 'node:fs'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { request } from 'undici'
import type { KvServer } from '../../platform/standin/kv-server.ts'
import { StandinOperator } from '../../platform/standin/operator.ts'
import { WorkerServer } from '../../platform/standin/worker-server.ts'
import { parseJob } from '../../platform/job-body.ts'
import { cancelKey, jobKey, progressKey } from '../../src/controller/records/store-keys.ts'
import { MemberProcess } from './process-harness.ts'

const OCTET = 140 + process.pid % 100
const HEAP = '--max-old-space-size=120 --max-semi-space-size=4'
const JOBS = 120
const STEPS = 3_000
const TIMEOUT_MS = 60_000
const POLL_INTERVAL_MS = 100
/** Tasks of large jobs that must have run, so that the member does more than not to end. */
const MIN_STARTS = 100

/** What an earlier release has accepted: 100 MB of jobs, half of them with 1,000 steps done, some cancelled. */
function fillStore (kv: KvServer): void {
  const steps = Array.from({ length: STEPS }, (_, step) => ({ count: 1, cpu: 100, ...step > 0 && { after: [step - 1] } }))
  const body = JSON.stringify({ spec: '{"ms":20}', steps })
  const done = Array.from({ length: STEPS }, (_, step) => ({ done: step < 1_000 ? '1' : '0', failedRuns: {}, gangFailedRuns: [] }))
  for (let index = 0; index < JOBS; index++) {
    const id = `a1b2c3d4e5f7${index.toString(16).padStart(4, '0')}`
    kv.put(jobKey(id), JSON.stringify(parseJob(body, { id, queue: 'short', organisation: 'operator' })._unsafeUnwrap()))
    if (index % 2 === 0) kv.put(progressKey(id), JSON.stringify({ phase: 'running', nextOccurrence: 1, open: { 0: done } }))
    if (index % 10 === 9) kv.put(cancelKey(id), '{}')
  }
}

async function call (member: MemberProcess, method: 'GET' | 'POST', id: string, body?: unknown): Promise<string | undefined> {
  try {
    const response = await request(`${member.callers.origin}/short/${id}`, { method, headers: { host: 'stop.example', key: 'key-of-stop' }, ...body !== undefined && { body: JSON.stringify(body) } })
    return ((await response.body.json()) as { readonly state?: string }).state
  } catch {
    return undefined
  }
}

type Case = { readonly when: string, readonly isFilledBefore: boolean }

// Each leader read all jobs of the store at once, and gave each of their steps an object: "heap out of memory" in one after another.
const CASES: readonly Case[] = [
  { when: 'the store holds', isFilledBefore: true },
  { when: 'members that do not reach it store at once', isFilledBefore: false }
]

for (const { when, isFilledBefore } of CASES) {
  test(`platform member: guards against the failure that it ends when ${when} more work than its memory`, () => playLargeJobs(isFilledBefore))
}

async function playLargeJobs (isFilledBefore: boolean): Promise<void> {
  const worker = await WorkerServer.listen({ id: 'w1', needsTickets: false })
  const member = await MemberProcess.start(OCTET, writeFileSync, { NODE_OPTIONS: HEAP }, (kv) => {
    if (isFilledBefore) fillStore(kv)
    StandinOperator.create(kv).publishWorker(worker)
  })
  try {
    await member.waitUntilReady()
    if (!isFilledBefore) {
      while (member.kv.read('lead/holder') === undefined) await wait(POLL_INTERVAL_MS)
      fillStore(member.kv)
    }
    const endAt = performance.now() + TIMEOUT_MS
    let state: string | undefined
    while ((state !== 'completed' || worker.starts.length < MIN_STARTS || await call(member, 'GET', 'a1b2c3d4e5f70009') !== 'cancelled') && performance.now() < endAt) {
      assert.ok(member.process.isRunning, `the process ended: ${member.process.standardError.slice(-500)}`)
      if (state === undefined) await call(member, 'POST', '00000000000000a1', { spec: '{"ms":20}', steps: [{ count: 1, cpu: 100 }] })
      state = await call(member, 'GET', '00000000000000a1')
      await wait(POLL_INTERVAL_MS)
    }
    assert.equal(state, 'completed', 'an ordinary job beside them')
    assert.ok(worker.starts.length >= MIN_STARTS, `${worker.starts.length} tasks of them have started`)
    assert.equal(new Set(worker.starts.map(({ task }) => task)).size, worker.starts.length)
    assert.equal(await call(member, 'GET', 'a1b2c3d4e5f70009'), 'cancelled')
  } finally {
    await member.close()
    worker.close()
  }
}
