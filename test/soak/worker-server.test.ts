import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { createTicket } from '../../platform/standin/ticket.ts'
import type { WorkerServerOptions } from '../../platform/standin/worker-server.ts'
import { LONG_MS, TASK, TestWorker } from './test-worker.ts'
import type { StartFields } from './test-worker.ts'

const TASK_MS = 100

type Case = { readonly behaviour: string, readonly options?: Partial<WorkerServerOptions>, readonly play: (worker: TestWorker) => Promise<void> }

const leases: readonly Case[] = [
  {
    behaviour: 'everything is killed when the lease expires',
    play: async (worker) => {
      await worker.start({ leaseMs: 200 })
      await wait(500)
      assert.deepEqual(worker.ends, ['a.0.0.0 1 lapsed'])
    }
  },
  {
    behaviour: 'a lease never becomes shorter',
    play: async (worker) => {
      await worker.start()
      await worker.hold({ deadlineMs: worker.server.clockMs + 100 })
      await wait(400)
      assert.deepEqual(worker.ends, [])
    }
  },
  {
    behaviour: 'a lease is shortened to the maximum',
    options: { maxLeaseMs: 300 },
    play: async (worker) => {
      await worker.start({ leaseMs: LONG_MS })
      await wait(700)
      assert.deepEqual(worker.ends, ['a.0.0.0 1 lapsed'])
    }
  },
  {
    behaviour: 'one lease holds for all runs of the worker',
    play: async (worker) => {
      await worker.start({ leaseMs: 1_000 })
      await worker.start({ task: 'a.0.0.1', leaseMs: LONG_MS })
      await wait(1_500)
      assert.deepEqual(worker.ends, [])
    }
  },
  {
    behaviour: 'a start that is refused as old prolongs the lease',
    play: async (worker) => {
      await worker.call('/run-stop', { task: 'a.0.0.1', run: 3 })
      await worker.start({ leaseMs: 1_000 })
      assert.deepEqual(await worker.start({ task: 'a.0.0.1', run: 3, leaseMs: LONG_MS }).then(({ reason }) => reason), 'old')
      await wait(1_500)
      assert.deepEqual(worker.ends, [])
    }
  },
  {
    behaviour: 'a start that is refused for want of room prolongs the lease',
    options: { rejectsOverload: true },
    play: async (worker) => {
      await worker.start({ leaseMs: 1_000, spec: { cpuMillis: 16_000 } })
      assert.deepEqual(await worker.start({ task: 'a.0.0.1', leaseMs: LONG_MS, spec: { cpuMillis: 1 } }).then(({ reason }) => reason), 'room')
      await wait(1_500)
      assert.deepEqual(worker.ends, [])
    }
  },
  {
    behaviour: 'a start without a ticket does not prolong the lease',
    options: { needsTickets: true },
    play: async (worker) => {
      await worker.start({ leaseMs: 200 })
      assert.deepEqual(await worker.start({ task: 'a.0.0.1', leaseMs: LONG_MS, spec: { needsTicket: true } }).then(({ reason }) => reason), 'ticket')
      await wait(500)
      assert.deepEqual(worker.ends, ['a.0.0.0 1 lapsed'])
    }
  },
  {
    behaviour: 'the lease is measured on the clock of the worker, which may be slow',
    options: { clockRate: 0.5 },
    play: async (worker) => {
      const sentAtMs = performance.now()
      await worker.start({ leaseMs: 200 })
      await wait(700)
      assert.deepEqual(worker.ends, ['a.0.0.0 1 lapsed'])
      assert.ok(worker.eventTimes[1]! - sentAtMs >= 390)
    }
  },
  {
    behaviour: 'a completion that is acknowledged while the lease holds is not lapsed',
    play: async (worker) => {
      await worker.start({ spec: { ms: TASK_MS } })
      await wait(4 * TASK_MS)
      await worker.hold({ ackCursor: 1, deadlineMs: worker.server.clockMs + LONG_MS })
      assert.deepEqual(worker.events.slice(1), [{ type: 'ended', task: TASK, run: 1, outcome: 'done' }, { type: 'acknowledged', task: TASK, run: 1, outcome: 'done', leaseLapsed: false }])
    }
  },
  {
    behaviour: 'a completion that is acknowledged after the lease has lapsed is lapsed',
    play: async (worker) => {
      await worker.start({ leaseMs: 2 * TASK_MS, spec: { ms: TASK_MS } })
      await wait(4 * TASK_MS)
      await worker.hold({ ackCursor: 1, deadlineMs: worker.server.clockMs + LONG_MS })
      assert.deepEqual(worker.events.slice(1), [{ type: 'ended', task: TASK, run: 1, outcome: 'done' }, { type: 'acknowledged', task: TASK, run: 1, outcome: 'done', leaseLapsed: true }])
    }
  }
]

const orders: readonly Case[] = [
  {
    behaviour: 'a lower fencing token has no effect, and none counts as 0',
    play: async (worker) => {
      await worker.hold({ fencingToken: 5 })
      assert.deepEqual(await worker.start({ fencingToken: 4 }).then(({ status, reason }) => [status, reason]), [409, 'fence'])
      assert.deepEqual(await worker.start({ fencingToken: undefined }).then(({ reason }) => reason), 'fence')
      assert.deepEqual(worker.events, [])
    }
  },
  {
    behaviour: 'a start whose deadline has passed is refused',
    play: async (worker) => {
      assert.deepEqual(await worker.start({ deadlineMs: worker.server.clockMs }).then(({ reason }) => reason), 'late')
      assert.deepEqual(worker.events, [])
    }
  },
  {
    behaviour: 'a start of a run that is present is accepted and has no effect',
    play: async (worker) => {
      assert.deepEqual([await worker.start(), await worker.start()].map(({ status }) => status), [200, 200])
      assert.equal(worker.events.length, 1)
    }
  },
  {
    behaviour: 'a run that is stopped before its start arrives is refused, and so are lower runs',
    play: async (worker) => {
      await worker.call('/run-stop', { task: TASK, run: 3 })
      assert.deepEqual(await Promise.all([2, 3, 4].map(async (run) => (await worker.start({ run })).reason)), ['old', 'old', undefined])
    }
  },
  {
    behaviour: 'a run that has ended is refused',
    play: async (worker) => {
      await worker.start({ spec: { ms: 1 } })
      await wait(100)
      assert.deepEqual((await worker.start()).reason, 'old')
    }
  },
  {
    behaviour: 'two runs of one task may be present',
    play: async (worker) => {
      await worker.start({ run: 1 })
      await worker.start({ run: 2 })
      assert.equal((await worker.hold()).running?.length, 2)
    }
  },
  {
    behaviour: 'a stop takes time, and the run is present until it ends',
    options: { maxStopMs: 600, seed: 5 },
    play: async (worker) => {
      await worker.start()
      await worker.call('/run-stop', { task: TASK, run: 1 })
      assert.equal((await worker.hold()).running?.length, 1)
      await wait(800)
      assert.deepEqual(worker.ends, ['a.0.0.0 1 stopped'])
    }
  },
  {
    behaviour: 'a call for another incarnation is not served',
    play: async (worker) => assert.deepEqual(await worker.call('/hold', {}, 'w2'), { status: 421 })
  },
  {
    behaviour: 'a task without a duration goes on, and is at work after its startup',
    play: async (worker) => {
      await worker.start()
      const [[task, run, saved, percent]] = (await worker.hold()).running as [[string, number, string, number]]
      assert.deepEqual([task, run, saved], [TASK, 1, ''])
      assert.ok(percent < 100, `at work after ${percent} percent of its startup`)
      await wait(1_200)
      assert.deepEqual((await worker.hold()).running, [[TASK, 1, '', 100, 0]])
    }
  },
  {
    behaviour: 'a task whose share is 0 does not work',
    play: async (worker) => {
      await worker.start({ spec: { ms: 10 * TASK_MS } })
      await worker.call('/pace', { task: TASK, run: 1, percent: 0 })
      await wait(12 * TASK_MS)
      assert.deepEqual(worker.ends, [])
      await worker.call('/pace', { task: TASK, run: 1, percent: 100 })
      await wait(12 * TASK_MS)
      assert.deepEqual(worker.ends, ['a.0.0.0 1 done'])
    }
  },
  {
    behaviour: 'a start without a ticket is refused where one is needed',
    options: { needsTickets: true },
    play: async (worker) => {
      const { startedAtMs } = worker.server
      const tickets = [
        undefined,
        createTicket({ step: 'a.0.1', worker: 'w1', incarnation: startedAtMs }, Date.now() + LONG_MS),
        createTicket({ step: 'a.0.0', worker: 'w2', incarnation: startedAtMs }, Date.now() + LONG_MS),
        createTicket({ step: 'a.0.0', worker: 'w1', incarnation: startedAtMs - 1 }, Date.now() + LONG_MS),
        createTicket({ step: 'a.0.0', worker: 'w1', incarnation: startedAtMs }, Date.now() - 1)
      ]
      for (const ticket of tickets) assert.equal((await worker.start({ ticket, spec: { needsTicket: true } })).reason, 'ticket')
      const ticket = createTicket({ step: 'a.0.0', worker: 'w1', incarnation: startedAtMs }, Date.now() + LONG_MS)
      assert.equal((await worker.start({ ticket, spec: { needsTicket: true } })).status, 200)
    }
  },
  {
    behaviour: 'completions are listed until they are acknowledged',
    play: async (worker) => {
      await worker.start({ spec: { ms: 1 } })
      await worker.start({ task: 'a.0.0.1', spec: { ms: 1, fails: true } })
      await wait(100)
      const ended = [[1, TASK, 1, 'done', ''], [2, 'a.0.0.1', 1, 'failed', '']]
      assert.deepEqual((await worker.hold()).ended, ended)
      assert.deepEqual((await worker.hold({ ackCursor: 1 })).ended, ended.slice(1))
    }
  }
]

const crashes: readonly Case[] = [
  {
    behaviour: 'the next incarnation has the same id, a clock from 0, no fence, no runs and numbers of completions from 1',
    play: async (worker) => {
      await worker.start({ fencingToken: 5, run: 7, spec: { ms: 1 } })
      await wait(300)
      const { startedAtMs } = worker.server
      worker.server.crash()
      assert.ok(worker.server.startedAtMs > startedAtMs && worker.server.clockMs < 200)
      const deadlineMs = worker.server.clockMs + LONG_MS
      assert.equal((await worker.start({ fencingToken: 1, run: 1, deadlineMs, spec: { ms: 1 } })).status, 200)
      await wait(100)
      assert.deepEqual((await worker.hold()).ended, [[1, TASK, 1, 'done', '']])
    }
  },
  {
    behaviour: 'a list request that waits for a completion is not answered by the next incarnation',
    play: async (worker) => {
      const isAnswered = worker.hold({ waitMs: 1_000 }).then(() => true, () => false)
      await wait(200)
      worker.server.crash()
      assert.equal(await isAnswered, false)
    }
  },
  ...[
    { behaviour: 'an order that is carried out late reaches the next incarnation', survivesCrash: true, starts: 2 },
    { behaviour: 'an order that is carried out late is lost with the incarnation that received it', survivesCrash: false, starts: 1 }
  ].map(({ behaviour, survivesCrash, starts }): Case => ({
    behaviour,
    play: async (worker) => {
      await worker.start()
      worker.server.lateOrders = { share: 1, survivesCrash }
      const isAnswered = worker.start({ task: 'a.0.0.1', deadlineMs: 3 * LONG_MS }).then(() => true, () => false)
      await wait(TASK_MS)
      worker.server.crash()
      assert.equal(await isAnswered, false)
      assert.equal(worker.server.starts.length, starts)
      const late = worker.events.flatMap((event) => event.type === 'started' && event.lateByMs !== undefined ? [event.lateByMs] : [])
      assert.equal(late.length, starts - 1)
      assert.ok(late.every((ms) => ms >= 2_000 && ms <= 12_000))
    }
  }))
]

const lateOrders: ReadonlyArray<{ readonly checked: string, readonly fields: StartFields, readonly meanwhile: (worker: TestWorker) => Promise<unknown> }> = [
  { checked: 'fence', fields: { deadlineMs: 3 * LONG_MS }, meanwhile: (worker) => worker.hold({ fencingToken: 2 }) },
  { checked: 'run number', fields: { deadlineMs: 3 * LONG_MS }, meanwhile: (worker) => worker.call('/run-stop', { task: TASK, run: 1 }) },
  { checked: 'deadline', fields: { leaseMs: 1_500 }, meanwhile: async () => {} }
]

const lateOrderCases = lateOrders.map(({ checked, fields, meanwhile }): Case => ({
  behaviour: `an order that is carried out late is checked against the ${checked} of that moment`,
  play: async (worker) => {
    worker.server.lateOrders = { share: 1, survivesCrash: false }
    const late = worker.start(fields).catch(() => {})
    await wait(TASK_MS)
    worker.server.lateOrders = undefined
    await meanwhile(worker)
    await late
    assert.deepEqual(worker.events, [])
  }
}))

const delays: readonly Case[] = [
  {
    behaviour: 'a slow start takes effect late, and other calls are not delayed',
    play: async (worker) => {
      await worker.start()
      worker.server.delay = { calls: 'starts', beforeMs: 1_000, afterMs: 0 }
      const startedAt = performance.now()
      const start = worker.start({ task: 'a.0.0.1' })
      await worker.hold()
      assert.equal(worker.events.length, 1)
      await start
      assert.equal(worker.events.length, 2)
      assert.ok(performance.now() - startedAt >= 990)
    }
  },
  {
    // A process takes what it has received with it: otherwise the next incarnation would start tasks that nobody has sent to it.
    behaviour: 'a slow start is lost with the incarnation that received it',
    play: async (worker) => {
      worker.server.delay = { calls: 'all', beforeMs: 2 * TASK_MS, afterMs: 0 }
      const isAnswered = worker.start({ deadlineMs: 3 * LONG_MS }).then(() => true, () => false)
      await wait(TASK_MS)
      worker.server.crash()
      assert.equal(await isAnswered, false)
      assert.deepEqual(worker.events, [{ type: 'crashed' }])
    }
  },
  {
    behaviour: 'a slow response is lost with the incarnation that gives it',
    play: async (worker) => {
      worker.server.delay = { calls: 'all', beforeMs: 0, afterMs: 2 * TASK_MS }
      const isAnswered = worker.start().then(() => true, () => false)
      await wait(TASK_MS)
      worker.server.crash()
      assert.equal(await isAnswered, false)
    }
  }
]

for (const { behaviour, options, play } of [...leases, ...orders, ...crashes, ...lateOrderCases, ...delays]) {
  test(`stand-in of a worker: ${behaviour}`, async () => {
    const worker = await TestWorker.listen(options)
    try {
      await play(worker)
    } finally {
      worker.server.close()
    }
  })
}
