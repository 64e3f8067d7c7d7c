import assert from 'node:assert/strict'
import type { TargetResponse, TargetCall, TargetClient, TargetFailure } from '../../src/ports/target-client.ts'
import type { Target } from '../../src/model/target.ts'
import type { InMemoryTarget } from '../../src/standins/target.ts'
import { CAPACITY, createWork } from '../standins/fixtures.ts'
import { FAULT_CASES, contract, eventually, soon } from './harness.ts'
import type { Case, Harness } from './harness.ts'

/** `patient` and `impatient` call the same target with different timeouts. */
export type TargetHarness = Harness & { readonly target: Target, readonly standin: InMemoryTarget, readonly patient: TargetClient, readonly impatient: TargetClient }

type CallOf<T extends TargetCall['type']> = Extract<TargetCall, { type: T }>

const OWNER = { group: 0, epoch: 5, lease: 1 }
const ADOPT: CallOf<'adopt'> = { type: 'adopt', ...OWNER, leaseMs: 60_000 }
const SYNC: CallOf<'sync'> = { type: 'sync', ...OWNER, leaseMs: 60_000, acknowledged: [], after: 0, waitMs: 60_000 }
const FENCED: TargetFailure = { reason: 'fenced', verdict: 'not-run' }
const UNKNOWN: TargetFailure = { reason: 'unknown-lease', verdict: 'not-run' }

function start (taskId: string, payload: unknown): CallOf<'start'> {
  return { type: 'start', ...OWNER, taskId, attempt: 1, work: createWork(taskId.split('/')[0]!, payload) }
}

async function ask<T extends TargetCall['type']> (harness: TargetHarness, call: CallOf<T>, client = harness.patient): Promise<Extract<TargetResponse, { type: T }>> {
  const result = await client.call(harness.target, call as TargetCall)
  assert.ok(result.isOk(), `expected an answer: ${JSON.stringify(result)}`)
  return result.value as Extract<TargetResponse, { type: T }>
}

async function failure (harness: TargetHarness, call: TargetCall): Promise<TargetFailure> {
  return (await harness.patient.call(harness.target, call))._unsafeUnwrapErr()
}

const CASES: readonly Case<TargetHarness>[] = [
  {
    guards: 'the output of a task is complete, and is kept until acknowledged without ending further waits',
    run: async (harness) => {
      const output = { stitches: [1, 2.5, null], text: 'стежок \u{1f9f5}' }
      const adopted = await ask(harness, ADOPT)
      assert.deepEqual({ ...adopted, upMs: 0 }, { type: 'adopt', running: [], ended: [], sequence: 0, upMs: 0, capacity: CAPACITY })
      await ask(harness, start('g0-a/0', { runMs: 5, output }))
      const { ended, sequence } = await soon(ask(harness, SYNC))
      assert.deepEqual(ended.map((task) => task.outcome), [{ type: 'succeeded', output }])
      const again = [{ after: sequence, waitMs: 20 }, { waitMs: 0 }, { waitMs: 0, acknowledged: [{ taskId: 'g0-a/0', attempt: 1 }] }]
      const counts = await Promise.all(again.map((fields) => ask(harness, { ...SYNC, ...fields })))
      assert.deepEqual(counts.map((answer) => answer.ended.length), [0, 1, 0])
    }
  },
  {
    guards: 'a waiting sync does not hold up a start, and ends with the task that the start ran',
    run: async (harness) => {
      await ask(harness, ADOPT)
      const waiting = ask(harness, SYNC)
      await ask(harness, start('g0-a/0', { runMs: 5, fail: true }))
      assert.deepEqual((await soon(waiting)).ended.map((task) => task.outcome), [{ type: 'failed', reason: 'task-failed' }])
    }
  },
  {
    guards: 'an older epoch is fenced, also in a sync that waits',
    run: async (harness) => {
      await ask(harness, ADOPT)
      const waiting = failure(harness, SYNC)
      await ask(harness, { ...ADOPT, epoch: 6 })
      for (const call of [start('g0-b/0', {}), ADOPT]) assert.deepEqual(await failure(harness, call), FENCED)
      assert.deepEqual(await soon(waiting), FENCED)
      assert.deepEqual(harness.standin.executions, [])
    }
  },
  {
    guards: 'a call from before an adoption, of the same epoch or without any, has no effect',
    run: async (harness) => {
      assert.deepEqual(await failure(harness, start('g0-a/0', {})), UNKNOWN)
      await ask(harness, ADOPT)
      await ask(harness, { ...ADOPT, lease: 2 })
      for (const call of [start('g0-a/0', {}), ADOPT]) assert.deepEqual(await failure(harness, call), UNKNOWN)
      assert.deepEqual(harness.standin.executions, [])
    }
  },
  {
    guards: 'a new owner sees the running task and can stop it',
    run: async (harness) => {
      await ask(harness, ADOPT)
      const call = start('g0-a/0', { runMs: 60_000 })
      await ask(harness, call)
      const { running } = await ask(harness, { ...ADOPT, epoch: 6 })
      assert.deepEqual(running.map((task) => [task.taskId, task.attempt, task.work]), [['g0-a/0', 1, call.work]])
      const stop: CallOf<'control'> = { type: 'control', ...OWNER, epoch: 6, taskId: 'g0-a/0', action: 'stop' }
      assert.deepEqual([(await ask(harness, stop)).found, (await ask(harness, stop)).found], [true, false])
      const synced = await soon(ask(harness, { ...SYNC, epoch: 6 }))
      assert.deepEqual(synced.ended.map((task) => task.outcome), [{ type: 'stopped', checkpointed: false }])
    }
  },
  {
    guards: 'a lapsed task lease ends a waiting sync and stops the tasks',
    run: async (harness) => {
      await ask(harness, ADOPT)
      await ask(harness, start('g0-a/0', { runMs: 60_000 }))
      assert.deepEqual(await soon(failure(harness, { ...SYNC, leaseMs: 60 })), UNKNOWN)
      assert.notEqual(harness.standin.executions[0]!.endedAt, undefined)
    }
  },
  {
    guards: 'no slot is given twice',
    run: async (harness) => {
      await ask(harness, ADOPT)
      for (let index = 0; index < CAPACITY.slots; index += 1) await ask(harness, start(`g0-a/${index}`, { runMs: 60_000 }))
      assert.deepEqual(await ask(harness, start('g0-b/0', {})), { type: 'start', started: false, refusal: 'no-room' })
      assert.equal(harness.standin.executions.length, CAPACITY.slots)
    }
  }
]

const FAULTS: readonly Case<TargetHarness>[] = FAULT_CASES.map(({ guards, faults, reason, open, effect }) => ({
  guards: `${guards}, and a start sent again runs its task once`,
  run: async (harness) => {
    const call = start('g0-a/0', { runMs: 60_000 })
    const runs = () => Promise.resolve(harness.standin.executions.length)
    await ask(harness, ADOPT, harness.impatient)
    await (faults === undefined ? harness.silence() : harness.set(faults))
    const result = await harness.impatient.call(harness.target, call)
    assert.deepEqual(result._unsafeUnwrapErr(), { reason, verdict: open ? 'may-have-run' : 'not-run' })
    await harness.set({ outage: 'none', delayMs: 0 })
    assert.equal(await eventually(runs, (count) => (count > 0) === effect), effect ? 1 : 0)
    assert.equal((await ask(harness, call, harness.impatient)).started, true)
    assert.equal(await runs(), 1)
  }
}))

/** Runs the contract of the port `TargetClient` against an implementation. */
export function targetContract (name: string, open: () => Promise<TargetHarness>): void {
  contract(name, open, [...CASES, ...FAULTS])
}
