import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { GangRegistry } from '../../platform/standin/gang-registry.ts'
import { LONG_MS, TASK, TestWorker } from './test-worker.ts'

const TASK_MS = 100

type Case = { readonly behaviour: string, readonly play: (worker: TestWorker) => Promise<void> }

const checkpoints: readonly Case[] = [
  {
    behaviour: 'a checkpoint is produced for each second of work, and at a stop',
    play: async (worker) => {
      await worker.start({ spec: { ms: LONG_MS, checkpoints: true } })
      assert.equal(((await worker.hold()).running as unknown[][])[0]![2], '')
      await wait(1_300)
      const saved = ((await worker.hold()).running as unknown[][])[0]![2] as string
      assert.match(saved, /^000003e8/)
      await worker.call('/run-stop', { task: TASK, run: 1 })
      const atStop = ((await worker.hold()).ended as unknown[][])[0]![4] as string
      assert.ok(atStop > saved)
      assert.ok(atStop.endsWith(saved.slice(8)))
    }
  },
  {
    behaviour: 'a start that carries a checkpoint resumes after the time to restore it',
    play: async (worker) => {
      const spec = { ms: 5_000, checkpoints: true }
      await worker.start({ spec })
      await wait(1_100)
      await worker.call('/run-stop', { task: TASK, run: 1 })
      const lastCheckpoint = ((await worker.hold()).ended as unknown[][])[0]![4]
      await worker.start({ run: 2, lastCheckpoint, spec: { ...spec, ms: 1_150 } })
      await wait(300)
      assert.deepEqual(worker.ends, ['a.0.0.0 1 stopped'])
      await wait(1_000)
      assert.deepEqual(worker.ends, ['a.0.0.0 1 stopped', 'a.0.0.0 2 done'])
      assert.ok(worker.events.every((event) => event.type !== 'started' || event.foreignCheckpoint === undefined))
    }
  },
  {
    behaviour: 'a checkpoint of another task is reported',
    play: async (worker) => {
      await worker.start({ lastCheckpoint: '000003e800000000', spec: { checkpoints: true } })
      assert.deepEqual(worker.events, [{ type: 'started', task: TASK, run: 1, foreignCheckpoint: '000003e800000000' }])
    }
  }
]

for (const { behaviour, play } of checkpoints) {
  test(`stand-in of a worker: ${behaviour}`, async () => {
    const worker = await TestWorker.listen()
    try {
      await play(worker)
    } finally {
      worker.server.close()
    }
  })
}

const MEMBER = { spec: { ms: 3 * TASK_MS, gangSize: 2 } }

const gangs: ReadonlyArray<{ readonly behaviour: string, readonly play: (first: TestWorker, second: TestWorker) => Promise<void>, readonly ends: readonly [first: readonly string[], second: readonly string[]] }> = [
  {
    behaviour: 'the members work from the moment when all of them are present, and end as done together',
    play: async (first, second) => {
      await first.start(MEMBER)
      await wait(5 * TASK_MS)
      assert.deepEqual((await first.hold()).running, [[TASK, 1, '', 0, 0]])
      await second.start({ ...MEMBER, task: 'a.0.0.1' })
      await wait(6 * TASK_MS)
      assert.ok(Math.abs(first.eventTimes[1]! - second.eventTimes[1]!) < 5)
    },
    ends: [['a.0.0.0 1 done'], ['a.0.0.1 1 done']]
  },
  {
    behaviour: 'members of different runs do not work together',
    play: async (first, second) => {
      await first.start(MEMBER)
      await second.start({ ...MEMBER, task: 'a.0.0.1', run: 2 })
      await wait(6 * TASK_MS)
    },
    ends: [[], []]
  },
  {
    behaviour: 'a member that waits too long for the others ends alone',
    play: async (first) => {
      await first.start(MEMBER)
      await wait(3_500)
    },
    ends: [['a.0.0.0 1 alone'], []]
  },
  {
    behaviour: 'a member is broken when another one has been stopped',
    play: async (first, second) => {
      await first.start(MEMBER)
      await second.start({ ...MEMBER, task: 'a.0.0.1' })
      await first.call('/run-stop', { task: TASK, run: 1 })
    },
    ends: [['a.0.0.0 1 stopped'], ['a.0.0.1 1 broken']]
  },
  {
    behaviour: 'a member is broken when the lease of another one has expired',
    play: async (first, second) => {
      await first.start({ ...MEMBER, leaseMs: 150 })
      await second.start({ ...MEMBER, task: 'a.0.0.1' })
      await wait(6 * TASK_MS)
    },
    ends: [['a.0.0.0 1 lapsed'], ['a.0.0.1 1 broken']]
  },
  {
    behaviour: 'a member is broken when the worker of another one has crashed',
    play: async (first, second) => {
      await first.start(MEMBER)
      await second.start({ ...MEMBER, task: 'a.0.0.1' })
      first.server.crash()
    },
    ends: [[], ['a.0.0.1 1 broken']]
  }
]

for (const { behaviour, play, ends } of gangs) {
  test(`stand-in of a worker: gang: ${behaviour}`, async () => {
    const registry = GangRegistry.create()
    const first = await TestWorker.listen({ gangs: registry })
    const second = await TestWorker.listen({ id: 'w2', gangs: registry })
    try {
      await play(first, second)
      assert.deepEqual([first.ends, second.ends], ends)
    } finally {
      first.server.close()
      second.server.close()
    }
  })
}
