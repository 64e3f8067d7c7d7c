import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { request } from 'undici'
import { StandinCell } from '../../platform/standin/cell.ts'
import type { KvRefusal } from '../../platform/standin/kv-server.ts'
import { LEADER_KEY } from '../../src/controller/records/store-keys.ts'
import { DEFAULT_FEATURES } from '../../src/settings/index.ts'

const TIMEOUT_MS = 15_000
const POLL_INTERVAL_MS = 50
const TASK = { count: 2, cpu: 500, memMb: 64, estimatedMs: 50 }

async function waitUntil (description: string, condition: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + TIMEOUT_MS
  while (!await condition()) {
    if (Date.now() > deadline) assert.fail(`not fulfilled within ${TIMEOUT_MS} ms: ${description}`)
    await wait(POLL_INTERVAL_MS)
  }
}

/** A cell of three members, two of which are the leader and another one. */
type Cell = { readonly cell: StandinCell, readonly leader: number, readonly other: number, readonly count: (message: string) => number }

async function runCell (enabled: boolean, run: (cell: Cell) => Promise<void>): Promise<void> {
  const messages: string[] = []
  const reporter = { log: (_level: string, message: string) => { messages.push(message) }, count: () => {}, observe: () => {} }
  const cell = await StandinCell.start({ members: 3, workers: 2, reporter, features: { ...DEFAULT_FEATURES, storeDetour: { enabled } } })
  try {
    await waitUntil('a leader is known and has members', async () => {
      const responses = await Promise.all([0, 1, 2].map((member) => cell.request(member, 'GET', '/short/')))
      return responses.every(({ status }) => status === 200)
    })
    // The members hear of each other with the next hello.
    await wait(1_500)
    const { member } = JSON.parse(cell.kv.read(LEADER_KEY)!) as { readonly member: string }
    const leader = Number(member.slice('member-'.length)) - 1
    await run({ cell, leader, other: (leader + 1) % 3, count: (message) => messages.filter((logged) => logged === message).length })
  } finally {
    await cell.close()
  }
}

async function isReady (cell: StandinCell, member: number): Promise<boolean> {
  const response = await request(`http://${cell.readinessAddresses[member]}/readiness`)
  await response.body.dump()
  return response.statusCode === 200
}

async function isCompleted (cell: StandinCell, member: number, path: string): Promise<boolean> {
  const { status, body } = await cell.request(member, 'GET', path)
  return status === 200 && body.state === 'completed'
}

function submit (cell: StandinCell, member: number, path: string): ReturnType<StandinCell['request']> {
  return cell.request(member, 'POST', path, { spec: JSON.stringify({ ms: 50 }), steps: [TASK] })
}

const refusals: readonly KvRefusal[] = [503, 429, 'reset', 'silent']

for (const refusal of refusals) {
  // REFUSED, LOST: each submission to such a member was refused with store-silent, and its cancellations and queries failed.
  test(`store detour: guards against the failure that a member that the store refuses alone (${refusal}) serves no callers`, () => runCell(true, async ({ cell, other, count }) => {
    const endpoint = cell.storeEndpoints[other]!
    endpoint.refusal = refusal
    await waitUntil('the detour begins', async () => count('store-detour-begun') > 0)
    const path = '/short/00000000000000a1'
    await waitUntil('accepted', async () => (await submit(cell, other, path)).status === 200)
    await waitUntil('completed', () => isCompleted(cell, other, path))
    assert.equal((await cell.request(other, 'DELETE', path)).status, 200)
    assert.ok(await isReady(cell, other))
    endpoint.refusal = undefined
    await waitUntil('the detour ends', async () => count('store-detour-ended') > 0)
    assert.equal((await submit(cell, other, '/short/00000000000000a2')).status, 200)
  }))

  // A leader among the refused members lost its lease after 1.5 s, and the cell waited for the next one.
  test(`store detour: guards against the failure that a leader that the store refuses alone (${refusal}) loses the leadership`, () => runCell(true, async ({ cell, leader, other, count }) => {
    const path = '/short/00000000000000b1'
    const terms = count('leadership-won')
    cell.storeEndpoints[leader]!.refusal = refusal
    await wait(4_000)
    assert.equal((await submit(cell, other, path)).status, 200)
    await waitUntil('completed', () => isCompleted(cell, other, path))
    assert.deepEqual([count('leadership-won'), count('leadership-lost')], [terms, 0])
    const starts = cell.workers.flatMap((worker) => worker.starts)
    assert.equal(starts.length, TASK.count)
  }))
}

test('store detour: guards against the failure that a member serves callers through others although the setting is off', () => runCell(false, async ({ cell, other, count }) => {
  cell.storeEndpoints[other]!.refusal = 503
  await waitUntil('not ready', async () => !await isReady(cell, other))
  assert.equal((await submit(cell, other, '/short/00000000000000a1')).status, 503)
  assert.equal(count('store-detour-begun'), 0)
}))

test('store detour: guards against the failure that an outage of the store is answered otherwise than without the detour', () => runCell(true, async ({ cell, other, count }) => {
  cell.kv.mode = 'busy'
  await wait(1_000)
  const { status, retryAfter } = await submit(cell, other, '/short/00000000000000a1')
  assert.deepEqual([status, retryAfter], [503, '1'])
  cell.kv.mode = 'up'
  await waitUntil('accepted', async () => (await submit(cell, other, '/short/00000000000000a1')).status === 200)
  assert.equal(count('store-detour-begun'), 0)
}))
