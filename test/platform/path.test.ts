import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { StandinCell } from '../../platform/standin/cell.ts'

const WITHIN_MS = 15_000
const POLL_MS = 50

async function until (what: string, holds: () => Promise<boolean>): Promise<void> {
  const latest = Date.now() + WITHIN_MS
  while (!await holds()) {
    if (Date.now() > latest) assert.fail(`not within ${WITHIN_MS} ms: ${what}`)
    await wait(POLL_MS)
  }
}

async function untilState (cell: StandinCell, member: number, path: string, state: string): Promise<void> {
  await until(`${path} is ${state}`, async () => {
    const answer = await cell.request(member, 'GET', path)
    return answer.status === 200 && answer.body.state === state
  })
}

async function submit (cell: StandinCell, path: string, steps: readonly unknown[], spec: unknown = { ms: 50 }): Promise<void> {
  await until(`${path} is accepted`, async () => {
    const { status } = await cell.request(0, 'POST', path, { spec: JSON.stringify(spec), steps })
    return status === 200
  })
}

const TASK = { count: 3, cpu: 500, memMb: 64, estimatedMs: 50 }

const kinds = [
  { kind: 'a job of two steps', path: '/short/00000000000000a1', steps: [TASK, { ...TASK, after: [0] }] },
  { kind: 'a job that needs advice', path: '/advised/00000000000000a2', steps: [TASK] },
  { kind: 'a gang', path: '/short/00000000000000a3', steps: [{ ...TASK, allOrNothing: true }] },
  { kind: 'a speculative step', path: '/short/00000000000000a4', steps: [{ ...TASK, speculative: true }] },
  { kind: 'a repeated job', path: '/short/00000000000000a5', steps: [TASK], repeat: { repeatCount: 2, firstMs: 1, intervalMs: 10 } }
]

test('platform: jobs of each kind go from submission to completed, through another member than the leader too', async (context) => {
  const cell = await StandinCell.start({ members: 2, workers: 3 })
  try {
    for (const { kind, path, steps, repeat } of kinds) {
      await context.test(kind, async () => {
        await until('accepted', async () => {
          const { status } = await cell.request(0, 'POST', path, { spec: JSON.stringify({ ms: 50 }), steps, ...repeat })
          return status === 200
        })
        await untilState(cell, 1, path, 'completed')
      })
    }
    await context.test('a job that lasts runs until it is cancelled', async () => {
      const path = '/short/00000000000000b1'
      await submit(cell, path, [{ ...TASK, longRunning: true }], {})
      await untilState(cell, 1, path, 'running')
      assert.equal((await cell.request(1, 'DELETE', path)).status, 200)
      await untilState(cell, 0, path, 'cancelled')
    })
    await context.test('a job whose tasks fail is failed after the attempts of its queue', async () => {
      await submit(cell, '/short/00000000000000b2', [{ ...TASK, count: 1 }], { ms: 20, fails: true })
      await untilState(cell, 1, '/short/00000000000000b2', 'failed')
    })
    await context.test('no run of a task started twice with the same number', () => {
      const started = cell.workers.flatMap(({ starts }) => starts.map(({ task, run }) => `${task}#${run}`))
      assert.equal(new Set(started).size, started.length)
    })
  } finally {
    await cell.close()
  }
})

const refusals = [
  { guards: 'an unknown queue', method: 'POST', path: '/none/00000000000000c1', key: undefined, status: 404 },
  { guards: 'an unknown key', method: 'POST', path: '/short/00000000000000c1', key: 'wrong', status: 401 },
  { guards: 'a malformed job', method: 'POST', path: '/short/00000000000000c1', key: undefined, status: 400 },
  { guards: 'the state of an unknown job', method: 'GET', path: '/short/00000000000000c1', key: undefined, status: 410 },
  { guards: 'the cancelling of an unknown job', method: 'DELETE', path: '/short/00000000000000c1', key: undefined, status: 410 },
  { guards: 'the count of an unknown queue', method: 'GET', path: '/none/', key: undefined, status: 404 }
]

test('platform: refusals', async (context) => {
  const cell = await StandinCell.start({ members: 1, workers: 0 })
  try {
    await until('configured', async () => (await cell.request(0, 'GET', '/short/')).status === 200)
    for (const { guards, method, path, key, status } of refusals) {
      await context.test(guards, async () => {
        const answer = await cell.request(0, method, path, method === 'POST' ? { spec: 1 } : undefined, key)
        assert.equal(answer.status, status)
      })
    }
  } finally {
    await cell.close()
  }
})

test('platform: a lost answer of the store does not lose or double a job', async () => {
  const cell = await StandinCell.start({ members: 1, workers: 1 })
  try {
    await until('configured', async () => (await cell.request(0, 'GET', '/short/')).status === 200)
    await wait(300)
    cell.kv.loseAnswers = 1
    const answer = await cell.request(0, 'POST', '/short/00000000000000d1', { spec: JSON.stringify({ ms: 20 }), steps: [TASK] })
    assert.ok([200, 504].includes(answer.status), `status ${answer.status}`)
    await untilState(cell, 0, '/short/00000000000000d1', 'completed')
    assert.equal(cell.workers[0]!.starts.length, TASK.count)
  } finally {
    await cell.close()
  }
})

const outages = [
  { mode: 'busy', status: 503 },
  { mode: 'reset', status: 503 }
] as const

for (const { mode, status } of outages) {
  test(`platform: while the store is down (${mode}), a job is refused as not run with a time to come back`, async () => {
    const cell = await StandinCell.start({ members: 1, workers: 1 })
    try {
      await submit(cell, '/short/00000000000000e1', [TASK])
      cell.kv.mode = mode
      await wait(400)
      const answer = await cell.request(0, 'POST', '/short/00000000000000e2', { spec: '{"ms":20}', steps: [TASK] })
      assert.deepEqual([answer.status, answer.retryAfter], [status, '1'])
      cell.kv.mode = 'up'
      await submit(cell, '/short/00000000000000e2', [TASK])
      await untilState(cell, 0, '/short/00000000000000e2', 'completed')
    } finally {
      await cell.close()
    }
  })
}

test('platform: another member takes over from a leader that died, and every task ends once', async () => {
  const cell = await StandinCell.start({ members: 3, workers: 2 })
  try {
    await submit(cell, '/short/00000000000000f1', [{ ...TASK, count: 6 }, { ...TASK, after: [0] }], { ms: 1_500 })
    const leader = await leaderOf(cell)
    await wait(500)
    await cell.closeMember(leader)
    await untilState(cell, leader === 0 ? 1 : 0, '/short/00000000000000f1', 'completed')
    const starts = cell.workers.flatMap((worker) => worker.starts.map(({ task }) => task))
    assert.equal(starts.length, 9, 'runs of the earlier leader were taken over')
  } finally {
    await cell.close()
  }
})

test('platform: a job record that cannot be read does not keep the others from being restored', async () => {
  const cell = await StandinCell.start({ members: 1, workers: 1, prepare: (kv) => kv.put('jobs/00000000000000bb', '{') })
  try {
    await submit(cell, '/short/00000000000000b9', [TASK])
    await untilState(cell, 0, '/short/00000000000000b9', 'completed')
  } finally {
    await cell.close()
  }
})

async function leaderOf (cell: StandinCell): Promise<number> {
  await until('a leader', async () => cell.kv.read('lead/holder') !== undefined)
  const { member } = JSON.parse(cell.kv.read('lead/holder')!) as { readonly member: string }
  return Number(member.slice('member-'.length)) - 1
}
