import assert from 'node:assert/strict'
import type { TargetResponse, TargetCall, TargetClient, TargetFailure } from '../../src/ports/target-client.ts'
import type { Target } from '../../src/model/target.ts'
import type { InMemoryTarget } from '../../src/standins/target.ts'
import { CAPACITY, createWork } from '../standins/fixtures.ts'
import { FAULT_CASES, runContract, pollUntil, withinTimeout } from './harness.ts'
import type { ContractCase, Harness } from './harness.ts'

/** `longTimeoutClient` and `shortTimeoutClient` call the same target with different timeouts. */
export type TargetHarness = Harness & { readonly target: Target, readonly standin: InMemoryTarget, readonly longTimeoutClient: TargetClient, readonly shortTimeoutClient: TargetClient }

type CallByType<T extends TargetCall['type']> = Extract<TargetCall, { type: T }>

const OWNER = { group: 0, epoch: 5, lease: 1 }
const ADOPT: CallByType<'adopt'> = { type: 'adopt', ...OWNER, leaseMs: 60_000 }
const SYNC: CallByType<'sync'> = { type: 'sync', ...OWNER, leaseMs: 60_000, acknowledged: [], after: 0, waitMs: 60_000 }
const FENCED: TargetFailure = { reason: 'fenced', verdict: 'not-run' }
const UNKNOWN_LEASE: TargetFailure = { reason: 'unknown-lease', verdict: 'not-run' }

function createStart (taskId: string, payload: unknown): CallByType<'start'> {
  return { type: 'start', ...OWNER, taskId, attempt: 1, work: createWork(taskId.split('/')[0]!, payload) }
}

async function callTarget<T extends TargetCall['type']> (harness: TargetHarness, call: CallByType<T>, client = harness.longTimeoutClient): Promise<Extract<TargetResponse, { type: T }>> {
  const result = await client.call(harness.target, call as TargetCall)
  assert.ok(result.isOk(), `expected a response: ${JSON.stringify(result)}`)
  return result.value as Extract<TargetResponse, { type: T }>
}

async function callForFailure (harness: TargetHarness, call: TargetCall): Promise<TargetFailure> {
  return (await harness.longTimeoutClient.call(harness.target, call))._unsafeUnwrapErr()
}

const CASES: readonly ContractCase<TargetHarness>[] = [
  {
    guards: 'the output of a task is complete and is kept until it is acknowledged, and a later sync does not end because of it',
    run: async (harness) => {
      const output = { stitches: [1, 2.5, null], text: 'стежок \u{1f9f5}' }
      const adopted = await callTarget(harness, ADOPT)
      assert.deepEqual({ ...adopted, upMs: 0 }, { type: 'adopt', running: [], ended: [], sequence: 0, upMs: 0, capacity: CAPACITY })
      await callTarget(harness, createStart('g0-a/0', { runMs: 5, output }))
      const { ended, sequence } = await withinTimeout(callTarget(harness, SYNC))
      assert.deepEqual(ended.map((task) => task.outcome), [{ type: 'succeeded', output }])
      const again = [{ after: sequence, waitMs: 20 }, { waitMs: 0 }, { waitMs: 0, acknowledged: [{ taskId: 'g0-a/0', attempt: 1 }] }]
      const syncs = await Promise.all(again.map((fields) => callTarget(harness, { ...SYNC, ...fields })))
      assert.deepEqual(syncs.map((response) => response.ended.length), [0, 1, 0])
    }
  },
  {
    guards: 'a waiting sync does not block a start, and ends when the started task ends',
    run: async (harness) => {
      await callTarget(harness, ADOPT)
      const waiting = callTarget(harness, SYNC)
      await callTarget(harness, createStart('g0-a/0', { runMs: 5, fail: true }))
      assert.deepEqual((await withinTimeout(waiting)).ended.map((task) => task.outcome), [{ type: 'failed', reason: 'task-failed' }])
    }
  },
  {
    guards: 'calls with an older epoch are fenced, including a waiting sync',
    run: async (harness) => {
      await callTarget(harness, ADOPT)
      const waiting = callForFailure(harness, SYNC)
      await callTarget(harness, { ...ADOPT, epoch: 6 })
      for (const call of [createStart('g0-b/0', {}), ADOPT]) assert.deepEqual(await callForFailure(harness, call), FENCED)
      assert.deepEqual(await withinTimeout(waiting), FENCED)
      assert.deepEqual(harness.standin.executions, [])
    }
  },
  {
    guards: 'a call without an adoption, or with a lease from before the last adoption, has no effect',
    run: async (harness) => {
      assert.deepEqual(await callForFailure(harness, createStart('g0-a/0', {})), UNKNOWN_LEASE)
      await callTarget(harness, ADOPT)
      await callTarget(harness, { ...ADOPT, lease: 2 })
      for (const call of [createStart('g0-a/0', {}), ADOPT]) assert.deepEqual(await callForFailure(harness, call), UNKNOWN_LEASE)
      assert.deepEqual(harness.standin.executions, [])
    }
  },
  {
    guards: 'a new owner sees the running task and can stop it',
    run: async (harness) => {
      await callTarget(harness, ADOPT)
      const call = createStart('g0-a/0', { runMs: 60_000 })
      await callTarget(harness, call)
      const { running } = await callTarget(harness, { ...ADOPT, epoch: 6 })
      assert.deepEqual(running.map((task) => [task.taskId, task.attempt, task.work]), [['g0-a/0', 1, call.work]])
      const stop: CallByType<'control'> = { type: 'control', ...OWNER, epoch: 6, taskId: 'g0-a/0', action: 'stop' }
      assert.deepEqual([(await callTarget(harness, stop)).found, (await callTarget(harness, stop)).found], [true, false])
      const synced = await withinTimeout(callTarget(harness, { ...SYNC, epoch: 6 }))
      assert.deepEqual(synced.ended.map((task) => task.outcome), [{ type: 'stopped', checkpointed: false }])
    }
  },
  {
    guards: 'an expired task lease ends a waiting sync and stops the tasks',
    run: async (harness) => {
      await callTarget(harness, ADOPT)
      await callTarget(harness, createStart('g0-a/0', { runMs: 60_000 }))
      assert.deepEqual(await withinTimeout(callForFailure(harness, { ...SYNC, leaseMs: 60 })), UNKNOWN_LEASE)
      assert.notEqual(harness.standin.executions[0]!.endedAt, undefined)
    }
  },
  {
    guards: 'a target starts no more tasks than it has slots',
    run: async (harness) => {
      await callTarget(harness, ADOPT)
      for (let index = 0; index < CAPACITY.slots; index += 1) await callTarget(harness, createStart(`g0-a/${index}`, { runMs: 60_000 }))
      assert.deepEqual(await callTarget(harness, createStart('g0-b/0', {})), { type: 'start', started: false, refusal: 'no-room' })
      assert.equal(harness.standin.executions.length, CAPACITY.slots)
    }
  }
]

const FAULT_CONTRACT_CASES: readonly ContractCase<TargetHarness>[] = FAULT_CASES.map(({ guards, faults, reason, outcomeUnknown, takesEffect }) => ({
  guards: `${guards}, and a repeated start runs its task only once`,
  run: async (harness) => {
    const call = createStart('g0-a/0', { runMs: 60_000 })
    const runs = () => Promise.resolve(harness.standin.executions.length)
    await callTarget(harness, ADOPT, harness.shortTimeoutClient)
    await (faults === undefined ? harness.silenceConnections() : harness.setFaults(faults))
    const result = await harness.shortTimeoutClient.call(harness.target, call)
    assert.deepEqual(result._unsafeUnwrapErr(), { reason, verdict: outcomeUnknown ? 'may-have-run' : 'not-run' })
    await harness.setFaults({ outage: 'none', delayMs: 0 })
    assert.equal(await pollUntil(runs, (count) => (count > 0) === takesEffect), takesEffect ? 1 : 0)
    assert.equal((await callTarget(harness, call, harness.shortTimeoutClient)).started, true)
    assert.equal(await runs(), 1)
  }
}))

/** Runs the contract of the port `TargetClient` against an implementation. */
export function targetContract (name: string, open: () => Promise<TargetHarness>): void {
  runContract(name, open, [...CASES, ...FAULT_CONTRACT_CASES])
}
