import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { WorkerCommands } from '../../platform/worker-commands.ts'
import { IncarnationCheck } from '../../src/controller/commands/incarnation-check.ts'
import { TargetSession } from '../../src/controller/commands/target-session.ts'
import { CellHarness, buildEntry } from '../workflow/harness.ts'
import { formatAnswer, RestartingTarget } from './restarting-target.ts'

const PLAY_MS = 4_500
const LEASE_MS = 3_500
const BURST = 12

/** How a target ends each connection after its answer. */
const endings = [
  { what: 'says so', headers: 'connection: close\r\n' },
  { what: 'does not say so', headers: '' }
]

for (const { what, headers } of endings) {
  // LAPSED: the leases of runs on a target that keeps no connections open ended although it answered all the while.
  test(`closing target: guards against the failure that a target that closes each connection, and ${what}, gets no leases or no starts once it is marked`, async () => {
    const target = await RestartingTarget.start()
    const leasedAt: number[] = []
    const startedAt = performance.now()
    target.answer = (request, socket) => {
      if (request.body.deadlineMs !== undefined && request.path === '/hold') leasedAt.push(performance.now() - startedAt)
      const answer = (): void => { socket.end(formatAnswer(request, headers)) }
      if (typeof request.body.waitMs === 'number') setTimeout(answer, request.body.waitMs)
      else answer()
      return undefined
    }
    const harness = CellHarness.create([buildEntry('t1', { address: target.address })], undefined, { areCommandsBound: true, leaseMs: LEASE_MS })
    const commands = WorkerCommands.create()
    const check = IncarnationCheck.create({ commands, reporter: { log: () => {}, count: () => {}, observe: () => {} } })
    const session = TargetSession.create({
      id: 't1',
      commands: check,
      term: 1,
      leaseMs: LEASE_MS,
      reporter: { log: () => {}, count: () => {}, observe: () => {} },
      getTarget: () => harness.scheduler.getTarget('t1'),
      applyEvent: (event) => {
        harness.now = performance.now()
        for (const effect of harness.apply(event)) {
          if (effect.type === 'store-targets') harness.apply({ type: 'targets-stored', ids: effect.ids, ...effect.unbound !== undefined && { unbound: effect.unbound } })
        }
      },
      waitForCommit: async () => {},
      isCommanded: () => true,
      mayReachNext: () => harness.scheduler.mayReachNext('t1'),
      canSendCommands: () => true
    })
    try {
      await wait(PLAY_MS)
      const isMarked = harness.scheduler.mayReachNext('t1')
      const meant = { id: 't1', address: target.address, incarnation: 1, ...isMarked && { mayReachNext: true as const } }
      const responses = await Promise.all(Array.from({ length: BURST }, (_, run) => check.start(meant, { task: 'a.0.0.0', run, payload: 'p', leaseUntilMs: 400_000, epoch: 3, checkpoint: '', ticket: undefined })))
      const gaps = leasedAt.map((at, index) => Math.round(at - (leasedAt[index - 1] ?? 0)))
      assert.ok(isMarked)
      assert.ok(Math.max(...gaps, PLAY_MS - (leasedAt.at(-1) ?? 0)) < LEASE_MS, `leases after ${gaps.join(', ')} ms`)
      assert.deepEqual([...new Set(responses.map(({ type }) => type))], ['accepted'])
    } finally {
      session.stop()
      commands.close()
      await target.close()
    }
  })
}
