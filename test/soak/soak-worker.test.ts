import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { Client, request } from 'undici'
import { KvServer } from '../../platform/standin/kv-server.ts'
import { SoakWorker } from '../../soak/soak-worker.ts'
import type { AwayState } from '../../soak/soak-worker.ts'

type Entry = { readonly state: string, readonly born: number } | undefined

type Case = {
  readonly fault: string
  readonly cause: (worker: SoakWorker) => Promise<void>
  /** The state of the entry during the fault and after it; `none` if there is no entry. */
  readonly during: string
  readonly after: string
  /** Whether a new incarnation is registered afterwards. */
  readonly isReborn: boolean
}

const FAULT_MS = 300
/** A busy machine takes longer than a fault to answer. */
const ANSWERED_MS = 10_000

async function stayAway (worker: SoakWorker, state: AwayState, ms: number): Promise<void> {
  worker.goAway(state)
  await wait(ms)
  assert.equal(worker.comeBack(), true)
}

const CASES: readonly Case[] = [
  { fault: 'a short cut', cause: (worker) => worker.cutOff('held', false, FAULT_MS), during: 'ready', after: 'ready', isReborn: false },
  { fault: 'a crash behind a cut', cause: (worker) => worker.cutOff('silent', true, FAULT_MS), during: 'ready', after: 'ready', isReborn: true },
  { fault: 'a cut that lasts longer than three heartbeats', cause: (worker) => worker.cutOff('silent', false, 5_000), during: 'none', after: 'ready', isReborn: false },
  { fault: 'flapping', cause: (worker) => worker.flap(false, FAULT_MS), during: 'ready', after: 'ready', isReborn: false },
  { fault: 'flapping with crashes', cause: (worker) => worker.flap(true, FAULT_MS), during: 'ready', after: 'ready', isReborn: true },
  ...(['dark', 'refused'] as const).map((state): Case => ({ fault: `being away with a link that is ${state}`, cause: (worker) => stayAway(worker, state, 5_000), during: 'none', after: 'ready', isReborn: true })),
  { fault: 'a short absence', cause: (worker) => stayAway(worker, 'dark', FAULT_MS), during: 'ready', after: 'ready', isReborn: true },
  { fault: 'draining', cause: (worker) => worker.drain(FAULT_MS), during: 'draining', after: 'none', isReborn: false }
]

for (const { fault, cause, during, after, isReborn } of CASES) {
  test(`soak worker: ${fault} shows the entry as ${during}, and then as ${after}${isReborn ? ' with a new incarnation' : ''}`, async () => {
    const kv = await KvServer.listen()
    const worker = await SoakWorker.start(kv, 'east', { id: 'w1', needsTickets: false })
    const readEntry = (): Entry => JSON.parse(kv.read('servers/w1') ?? 'null') ?? undefined
    try {
      const before = readEntry()
      const states: string[] = []
      const sampling = setInterval(() => states.push(readEntry()?.state ?? 'none'), FAULT_MS / 6)
      await wait(20)
      await cause(worker)
      clearInterval(sampling)
      assert.ok(states.includes(during), JSON.stringify(states))
      assert.equal(readEntry()?.state ?? 'none', after)
      if (after !== 'none') assert.equal(readEntry()?.born !== before?.born, isReborn)
    } finally {
      worker.close()
      kv.close()
    }
  })
}

type Unseen = { readonly scenario: string, readonly isCut: boolean, readonly cutMs: number, readonly later: 'reborn' | 'none' }

const HEARTBEAT_MS = 600
const UNSEEN: readonly Unseen[] = [
  { scenario: 'is published with its next heartbeat', isCut: false, cutMs: 0, later: 'reborn' },
  { scenario: 'is not published while it is cut off', isCut: true, cutMs: 5_500, later: 'none' }
]

for (const { scenario, isCut, cutMs, later } of UNSEEN) {
  // A restart that the store shows at once, or that ends all connections, is known before anything can be sent to the next incarnation.
  test(`soak worker: a restart that no connection shows ${scenario}, and calls reach the next incarnation before`, async () => {
    const kv = await KvServer.listen()
    const worker = await SoakWorker.start(kv, 'east', { id: 'w1', needsTickets: false })
    const readEntry = (): Entry => JSON.parse(kv.read('servers/w1') ?? 'null') ?? undefined
    const { address } = JSON.parse(kv.read('servers/w1')!) as { readonly address: string }
    const earlier = new Client(`http://${address}`)
    const call = async (dispatcher?: Client): Promise<number | undefined> => {
      const { body } = await request(`http://${address}/hold`, { method: 'POST', headers: { 'expect-instance': 'w1' }, body: '{}', ...(dispatcher === undefined ? {} : { dispatcher }) })
      return (await body.json() as { readonly born: number }).born
    }
    try {
      const before = await call(earlier)
      await worker.restartUnseen({ downMs: FAULT_MS, heartbeatAfterMs: HEARTBEAT_MS })
      const next = await call()
      assert.deepEqual([before === next, readEntry()?.born === before, next === worker.server.incarnation.startedAtMs], [false, true, true])
      await assert.rejects(call(earlier))
      const cut = isCut ? worker.cutOff('silent', false, cutMs) : undefined
      await wait(HEARTBEAT_MS)
      if (cut !== undefined) assert.equal(readEntry()?.born, before)
      if (cut !== undefined) await wait(4_000)
      assert.equal(readEntry()?.born, later === 'reborn' ? next : undefined)
      await cut
      assert.equal(readEntry()?.born, next)
    } finally {
      await earlier.destroy()
      worker.close()
      kv.close()
    }
  })
}

/** Other faults of a worker that is away, which must not bring it back. */
const OVERLAPPING: ReadonlyArray<{ readonly fault: string, readonly cause: (worker: SoakWorker) => Promise<void> | void }> = [
  { fault: 'a crash', cause: (worker) => worker.crash() },
  { fault: 'a cut that ends', cause: (worker) => worker.cutOff('silent', true, FAULT_MS) },
  { fault: 'flapping', cause: (worker) => worker.flap(true, FAULT_MS) },
  { fault: 'a link that is open again', cause: (worker) => worker.setLinkState('open') }
]

for (const { fault, cause } of OVERLAPPING) {
  // A worker that comes back early would look like a product that finds another one in time.
  test(`soak worker: ${fault} does not bring back a worker that is away`, async () => {
    const kv = await KvServer.listen()
    const worker = await SoakWorker.start(kv, 'east', { id: 'w1', needsTickets: false })
    const { address } = JSON.parse(kv.read('servers/w1')!) as { readonly address: string }
    const call = (timeoutMs: number): Promise<string> => request(`http://${address}/hold`, { method: 'POST', headers: { 'expect-instance': 'w1' }, body: '{}', signal: AbortSignal.timeout(timeoutMs) }).then(() => 'answered', ({ name }: Error) => name)
    try {
      assert.equal(await call(ANSWERED_MS), 'answered')
      const entry = kv.read('servers/w1')
      worker.goAway('dark')
      await cause(worker)
      assert.deepEqual([worker.isAvailable, kv.read('servers/w1'), await call(FAULT_MS)], [false, entry, 'TimeoutError'])
      worker.comeBack()
      assert.deepEqual([worker.isAvailable, await call(ANSWERED_MS)], [true, 'answered'])
    } finally {
      worker.close()
      kv.close()
    }
  })
}

test('soak worker: a call that it has received is not carried out after it has gone away', async () => {
  const kv = await KvServer.listen()
  const events: string[] = []
  const worker = await SoakWorker.start(kv, 'east', { id: 'w1', needsTickets: false, observe: ({ type }) => events.push(type) })
  worker.server.delay = { calls: 'all', beforeMs: FAULT_MS, afterMs: 0 }
  const body = JSON.stringify({ task: 'a.0.0.0', run: 1, deadlineMs: 60_000, spec: '{}' })
  request(`http://${worker.server.address}/run-start`, { method: 'POST', headers: { 'expect-instance': 'w1' }, body }).catch(() => {})
  await wait(FAULT_MS / 2)
  worker.goAway('dark')
  await wait(FAULT_MS)
  worker.comeBack()
  worker.close()
  kv.close()
  assert.deepEqual(events, ['crashed', 'crashed'])
})
