import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { request } from 'undici'
import { CELL_HOST, CELL_KEY, StandinCell } from '../../platform/standin/cell.ts'
import { StandinOperator } from '../../platform/standin/operator.ts'

const TIMEOUT_MS = 15_000
const POLL_INTERVAL_MS = 50

async function waitUntil (description: string, condition: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + TIMEOUT_MS
  while (!await condition()) {
    if (Date.now() > deadline) assert.fail(`not fulfilled within ${TIMEOUT_MS} ms: ${description}`)
    await wait(POLL_INTERVAL_MS)
  }
}

async function waitForState (cell: StandinCell, member: number, path: string, state: string): Promise<void> {
  await waitUntil(`${path} is ${state}`, async () => {
    const response = await cell.request(member, 'GET', path)
    return response.status === 200 && response.body.state === state
  })
}

async function submit (cell: StandinCell, path: string, steps: readonly unknown[], spec: unknown = { ms: 50 }): Promise<void> {
  await waitUntil(`${path} is accepted`, async () => {
    const { status } = await cell.request(0, 'POST', path, { spec: JSON.stringify(spec), steps })
    return status === 200
  })
}

const TASK = { count: 3, cpu: 500, memMb: 64, estimatedMs: 50 }

const jobKinds = [
  { kind: 'a job with two steps', path: '/short/00000000000000a1', steps: [TASK, { ...TASK, after: [0] }] },
  { kind: 'a job that needs advice', path: '/advised/00000000000000a2', steps: [TASK] },
  { kind: 'a gang', path: '/short/00000000000000a3', steps: [{ ...TASK, allOrNothing: true }] },
  { kind: 'a speculative step', path: '/short/00000000000000a4', steps: [{ ...TASK, speculative: true }] },
  { kind: 'a repeated job', path: '/short/00000000000000a5', steps: [TASK], repeat: { repeatCount: 2, firstMs: 1, intervalMs: 10 } }
]

test('platform: each kind of job completes, and a member that is not the leader accepts submissions and queries as well', async (context) => {
  const cell = await StandinCell.start({ members: 2, workers: 3 })
  try {
    for (const { kind, path, steps, repeat } of jobKinds) {
      await context.test(kind, async () => {
        await waitUntil('accepted', async () => {
          const { status } = await cell.request(0, 'POST', path, { spec: JSON.stringify({ ms: 50 }), steps, ...repeat })
          return status === 200
        })
        await waitForState(cell, 1, path, 'completed')
      })
    }
    await context.test('a long-running job runs until it is cancelled', async () => {
      const path = '/short/00000000000000b1'
      await submit(cell, path, [{ ...TASK, longRunning: true }], {})
      await waitForState(cell, 1, path, 'running')
      assert.equal((await cell.request(1, 'DELETE', path)).status, 200)
      await waitForState(cell, 0, path, 'cancelled')
    })
    await context.test('a job whose tasks fail reaches the state failed after the maximum number of attempts', async () => {
      await submit(cell, '/short/00000000000000b2', [{ ...TASK, count: 1 }], { ms: 20, fails: true })
      await waitForState(cell, 1, '/short/00000000000000b2', 'failed')
    })
    await context.test('no run number of a task is started twice', () => {
      const started = cell.workers.flatMap(({ starts }) => starts.map(({ task, run }) => `${task}#${run}`))
      assert.equal(new Set(started).size, started.length)
    })
  } finally {
    await cell.close()
  }
})

const refusals = [
  { scenario: 'an unknown queue', method: 'POST', path: '/none/00000000000000c1', key: undefined, status: 404 },
  { scenario: 'an unknown key', method: 'POST', path: '/short/00000000000000c1', key: 'wrong', status: 401 },
  { scenario: 'a malformed job', method: 'POST', path: '/short/00000000000000c1', key: undefined, status: 400 },
  { scenario: 'the state of an unknown job', method: 'GET', path: '/short/00000000000000c1', key: undefined, status: 410 },
  { scenario: 'the cancellation of an unknown job', method: 'DELETE', path: '/short/00000000000000c1', key: undefined, status: 410 },
  { scenario: 'the number of waiting jobs of an unknown queue', method: 'GET', path: '/none/', key: undefined, status: 404 }
]

// A decoder replaces such bytes, so that the tasks would be started with another payload than the caller has sent.
test('platform: guards against the failure that a job whose payload is not UTF-8 is accepted and changed', async () => {
  const cell = await StandinCell.start({ members: 1, workers: 0 })
  try {
    await waitUntil('configured', async () => (await cell.request(0, 'GET', '/short/')).status === 200)
    const path = '/short/00000000000000c2'
    const body = Buffer.from(JSON.stringify({ spec: 'caf\u00e9', steps: [TASK] }), 'latin1')
    const response = await request(`http://${cell.callerAddresses[0]}${path}`, { method: 'POST', headers: { host: CELL_HOST, key: CELL_KEY, 'content-type': 'application/json' }, body })
    assert.equal(response.statusCode, 400)
    await response.body.dump()
    assert.equal((await cell.request(0, 'GET', path)).status, 410)
  } finally {
    await cell.close()
  }
})

test('platform: invalid requests are rejected with the right status', async (context) => {
  const cell = await StandinCell.start({ members: 1, workers: 0 })
  try {
    await waitUntil('configured', async () => (await cell.request(0, 'GET', '/short/')).status === 200)
    for (const { scenario, method, path, key, status } of refusals) {
      await context.test(scenario, async () => {
        const response = await cell.request(0, method, path, method === 'POST' ? { spec: 1 } : undefined, key)
        assert.equal(response.status, status)
      })
    }
  } finally {
    await cell.close()
  }
})

test('platform: a job is neither lost nor run twice when a response of the store is lost', async () => {
  const cell = await StandinCell.start({ members: 1, workers: 1 })
  try {
    await waitUntil('configured', async () => (await cell.request(0, 'GET', '/short/')).status === 200)
    await wait(300)
    cell.kv.responsesToLose = 1
    const response = await cell.request(0, 'POST', '/short/00000000000000d1', { spec: JSON.stringify({ ms: 20 }), steps: [TASK] })
    assert.ok([200, 504].includes(response.status), `status ${response.status}`)
    await waitForState(cell, 0, '/short/00000000000000d1', 'completed')
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
  test(`platform: while the store is unavailable (${mode}), a job is refused with a retry-after header and not run`, async () => {
    const cell = await StandinCell.start({ members: 1, workers: 1 })
    try {
      await submit(cell, '/short/00000000000000e1', [TASK])
      cell.kv.mode = mode
      await wait(400)
      const response = await cell.request(0, 'POST', '/short/00000000000000e2', { spec: '{"ms":20}', steps: [TASK] })
      assert.deepEqual([response.status, response.retryAfter], [status, '1'])
      cell.kv.mode = 'up'
      await submit(cell, '/short/00000000000000e2', [TASK])
      await waitForState(cell, 0, '/short/00000000000000e2', 'completed')
    } finally {
      await cell.close()
    }
  })
}

test('platform: when the leader fails, another member takes over and every task runs once', async () => {
  const cell = await StandinCell.start({ members: 3, workers: 2 })
  try {
    await submit(cell, '/short/00000000000000f1', [{ ...TASK, count: 6 }, { ...TASK, after: [0] }], { ms: 1_500 })
    const leader = await findLeader(cell)
    await wait(500)
    await cell.closeMember(leader)
    await waitForState(cell, leader === 0 ? 1 : 0, '/short/00000000000000f1', 'completed')
    const starts = cell.workers.flatMap((worker) => worker.starts.map(({ task }) => task))
    assert.equal(starts.length, 9, 'the runs of the previous leader were adopted')
  } finally {
    await cell.close()
  }
})

const removedQueue = [
  { call: 'a submission', method: 'POST', path: '/short/00000000000000f3', status: 404 },
  { call: 'the state of its job', method: 'GET', path: '/short/00000000000000f2', status: 404 },
  { call: 'the cancellation of its job', method: 'DELETE', path: '/short/00000000000000f2', status: 404 },
  { call: 'the number of its waiting jobs', method: 'GET', path: '/short/', status: 404 },
  { call: 'the state of its job, through a queue that is left', method: 'GET', path: '/advised/00000000000000f2', status: 200 }
]

// The second step of a job of a removed queue never started once the leader that had read the queue was gone.
test('platform: guards against the failure that a job of a removed queue never goes on after its leader fails', async (context) => {
  const cell = await StandinCell.start({ members: 3, workers: 2 })
  try {
    await submit(cell, '/short/00000000000000f2', [TASK, { ...TASK, after: [0] }], { ms: 1_500 })
    const { settings } = JSON.parse(cell.kv.read('jobs/00000000000000f2')!) as { readonly settings: { readonly version: number, readonly queue: { readonly pool: string } } }
    assert.deepEqual([settings.version, settings.queue.pool, JSON.stringify(settings).includes(CELL_KEY)], [1, 'kit', false])
    StandinOperator.create(cell.kv).configure({ version: 2, host: CELL_HOST, key: CELL_KEY, weight: 100, maxAttempts: 2, queues: [{ name: 'advised', priority: 2 }] })
    await waitUntil('the queue is removed', async () => (await cell.request(0, 'GET', '/short/')).status === 404)
    const leader = await findLeader(cell)
    await cell.closeMember(leader)
    const other = leader === 0 ? 1 : 0
    for (const { call, method, path, status } of removedQueue) {
      await context.test(`${call} is answered ${status}`, async () => {
        await waitUntil('answered', async () => (await cell.request(other, method, path, method === 'POST' ? { spec: '{}', steps: [TASK] } : undefined)).status === status)
      })
    }
    await waitForState(cell, other, '/advised/00000000000000f2', 'completed')
  } finally {
    await cell.close()
  }
})

test('platform: other jobs are restored when one job record is unreadable', async () => {
  const cell = await StandinCell.start({ members: 1, workers: 1, prepareStore: (kv) => kv.put('jobs/00000000000000bb', '{') })
  try {
    await submit(cell, '/short/00000000000000b9', [TASK])
    await waitForState(cell, 0, '/short/00000000000000b9', 'completed')
  } finally {
    await cell.close()
  }
})

async function findLeader (cell: StandinCell): Promise<number> {
  await waitUntil('a leader', async () => cell.kv.read('lead/holder') !== undefined)
  const { member } = JSON.parse(cell.kv.read('lead/holder')!) as { readonly member: string }
  return Number(member.slice('member-'.length)) - 1
}
