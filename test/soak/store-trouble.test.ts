import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { request } from 'undici'
import { KvServer } from '../../platform/standin/kv-server.ts'
import { troubleStore } from '../../soak/store-trouble.ts'
import type { TroubledCell } from '../../soak/store-trouble.ts'
import { Random } from '../../src/util/random.ts'

/** `kept`: whether the key still has the revision of the precondition when the late write is applied. */
type Case = { readonly kept: boolean, readonly value: string }

const WRITES = 30
const TROUBLE_MS = 900
/** Longer than the latest write. */
const LATE_MS = 6_200
const VALUE = Buffer.from('late').toString('base64')

const CASES: readonly Case[] = [
  { kept: true, value: 'late' },
  { kept: false, value: 'newer' }
]

for (const { kept, value } of CASES) {
  // Writes that were applied at once, or against their condition, would show nothing about late ones.
  test(`store trouble: a late write is not answered and ${kept ? 'is applied seconds later' : 'has no effect if its condition does not hold then'}`, async () => {
    const kv = await KvServer.listen()
    const cell: TroubledCell = { kv, members: [], findMember: () => undefined, restartMember: async () => {}, countAsFault: (effect) => effect }
    try {
      const trouble = troubleStore(cell, 'writes-late', TROUBLE_MS, Random.create(7))
      const keys = Array.from({ length: WRITES }, (_, index) => `k${index}`)
      const answers = Promise.all(keys.map(async (key) => await writeOnce(kv, key) ? [key] : []))
      await trouble
      const late = keys.filter((key) => kv.read(key) === undefined)
      assert.ok(late.length > 0 && late.length < WRITES, `${late.length} late`)
      if (!kept) for (const key of late) kv.put(key, 'newer')
      const answered = (await answers).flat()
      assert.deepEqual(answered.filter((key) => late.includes(key)), [])
      await wait(LATE_MS)
      assert.deepEqual(late.map((key) => kv.read(key)), late.map(() => value))
    } finally {
      kv.close()
    }
  })
}

/** Creates a key. Returns whether the call was answered. */
async function writeOnce (kv: KvServer, key: string): Promise<boolean> {
  const body = JSON.stringify({ precondition: [{ key, revision: 0 }], puts: [{ key, value: VALUE }], remove: [] })
  return request(`http://${kv.address}/kv-txn`, { method: 'POST', body, signal: AbortSignal.timeout(LATE_MS) }).then(() => true, () => false)
}
