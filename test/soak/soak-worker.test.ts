import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { KvServer } from '../../platform/standin/kv-server.ts'
import { SoakWorker } from '../../soak/soak-worker.ts'

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

const CASES: readonly Case[] = [
  { fault: 'a short cut', cause: (worker) => worker.cutOff('held', false, FAULT_MS), during: 'ready', after: 'ready', isReborn: false },
  { fault: 'a crash behind a cut', cause: (worker) => worker.cutOff('silent', true, FAULT_MS), during: 'ready', after: 'ready', isReborn: true },
  { fault: 'a cut that lasts longer than three heartbeats', cause: (worker) => worker.cutOff('silent', false, 5_000), during: 'none', after: 'ready', isReborn: false },
  { fault: 'flapping', cause: (worker) => worker.flap(false, FAULT_MS), during: 'ready', after: 'ready', isReborn: false },
  { fault: 'flapping with crashes', cause: (worker) => worker.flap(true, FAULT_MS), during: 'ready', after: 'ready', isReborn: true },
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
