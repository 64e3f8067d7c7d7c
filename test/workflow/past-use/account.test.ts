import assert from 'node:assert/strict'
import { test } from 'node:test'
import { NO_DEMAND } from '../../../src/workflow/job.ts'
import type { Demand } from '../../../src/workflow/job.ts'
import { PastUse } from '../../../src/workflow/past-use/past-use.ts'
import { formatPastUse, parsePastUse } from '../../../src/workflow/past-use/past-use-record.ts'

const CAPACITY: Demand = { cpuMillis: 10_000, memoryMiB: 1_000, accelerators: 2 }
const HALF_LIFE_S = 3_600
const HOUR_MS = 3_600_000

type Use = { readonly organisation: string, readonly fromMs: number, readonly toMs: number, readonly weight?: number, readonly demand?: Partial<Demand> }

/** Creates accounts that are charged for each use in the order of the list. */
function chargeAll (uses: readonly Use[], halfLifeS = HALF_LIFE_S): PastUse {
  const pastUse = PastUse.create(halfLifeS)
  pastUse.setCapacity(CAPACITY)
  for (const { organisation, fromMs, toMs, weight = 1, demand } of uses) {
    pastUse.charge({ organisation, usage: { ...NO_DEMAND, ...demand ?? { cpuMillis: 2_000 } }, weight, now: fromMs })
    pastUse.charge({ organisation, usage: NO_DEMAND, weight, now: toMs })
  }
  return pastUse
}

const HOUR = { fromMs: 0, toMs: HOUR_MS }

/** `order`: organisations by past use alone, that with the smallest first; `larger`: past use of the last as a multiple of that of the first. */
const orders: ReadonlyArray<{ readonly guards: string, readonly uses: readonly Use[], readonly order: readonly string[], readonly larger?: number, readonly now?: number }> = [
  { guards: 'use of the last hour is forgotten', uses: [{ organisation: 'zuu', ...HOUR, demand: { cpuMillis: 6_000 } }, { organisation: 'abay', ...HOUR }], order: ['abay', 'zuu'], larger: 3 },
  { guards: 'a newcomer waits behind old ones', uses: [{ organisation: 'zuu', ...HOUR }], order: ['new', 'zuu'] },
  { guards: 'a short burst of a quiet organisation counts as much as an hour of use', uses: [{ organisation: 'zuu', ...HOUR }, { organisation: 'burst', fromMs: HOUR_MS - 60_000, toMs: HOUR_MS, demand: { cpuMillis: 10_000 } }], now: HOUR_MS + 60_000, order: ['burst', 'zuu'] },
  { guards: 'an organisation of weight 4 is charged like one of weight 1', uses: [{ organisation: 'heavy', ...HOUR, weight: 4, demand: { cpuMillis: 8_000 } }, { organisation: 'zuu', ...HOUR, demand: { cpuMillis: 2_000 } }], order: ['heavy', 'zuu'], larger: 1 },
  { guards: 'only processors are charged', uses: [{ organisation: 'zuu', ...HOUR, demand: { cpuMillis: 1_000 } }, { organisation: 'memory', ...HOUR, demand: { memoryMiB: 300 } }], order: ['zuu', 'memory'] },
  { guards: 'accelerators are not charged', uses: [{ organisation: 'zuu', ...HOUR, demand: { cpuMillis: 4_000 } }, { organisation: 'gpu', ...HOUR, demand: { accelerators: 1 } }], order: ['zuu', 'gpu'] },
  { guards: 'old use counts like recent use', uses: [{ organisation: 'old', ...HOUR }, { organisation: 'recent', fromMs: HOUR_MS, toMs: 2 * HOUR_MS }], now: 2 * HOUR_MS, order: ['old', 'recent'], larger: 2 },
  { guards: 'use under a weight of 0 keeps an organisation last after it has got a weight', uses: [{ organisation: 'zuu', ...HOUR, demand: { cpuMillis: 3_000 } }, { organisation: 'nought', ...HOUR, weight: 0 }], order: ['nought', 'zuu'] },
  { guards: 'an organisation is charged for more than the whole cell when targets have left', uses: [{ organisation: 'zuu', ...HOUR, demand: { cpuMillis: 10_000 } }, { organisation: 'more', ...HOUR, demand: { cpuMillis: 90_000 } }], order: ['zuu', 'more'], larger: 1 }
]

for (const { guards, uses, order, larger, now = HOUR_MS } of orders) {
  test(`past use: guards against the failure that ${guards}`, () => {
    const pastUse = chargeAll(uses)
    const keyOf = (organisation: string): number => pastUse.computeOrderKey({ organisation, usage: NO_DEMAND, weight: 1, now })
    assert.deepEqual([...order].sort((left, right) => keyOf(left) - keyOf(right)), order)
    const pastOf = (organisation: string): number => pastUse.list(now).find((entry) => entry.organisation === organisation)?.past ?? 0
    if (larger !== undefined) assert.ok(Math.abs(pastOf(order.at(-1)!) / pastOf(order[0]!) - larger) < 1e-9)
  })
}

test('past use: guards against the failure that many short runs are charged otherwise than one long run', () => {
  const starts = Array.from({ length: 10_000 }, (_, index) => index * HOUR_MS / 10_000)
  const pieces = chargeAll(starts.map((fromMs) => ({ organisation: 'zuu', fromMs, toMs: fromMs + HOUR_MS / 10_000 })))
  const whole = chargeAll([{ organisation: 'zuu', ...HOUR }])
  assert.ok(Math.abs(pieces.list(HOUR_MS)[0]!.past / whole.list(HOUR_MS)[0]!.past - 1) < 1e-9)
  assert.ok(Math.abs(whole.list(HOUR_MS)[0]!.past - 0.1) < 1e-9)
})

test('past use: guards against the failure that a change of the weight revalues what was used before it', () => {
  const pastUse = chargeAll([{ organisation: 'zuu', ...HOUR, weight: 1 }])
  const before = pastUse.list(HOUR_MS)
  pastUse.charge({ organisation: 'zuu', usage: NO_DEMAND, weight: 4, now: HOUR_MS })
  assert.deepEqual(pastUse.list(HOUR_MS), before)
})

test('past use: guards against the failure that accounts of organisations that never return fill the memory, or small ones are forgotten', () => {
  const pastUse = chargeAll([{ organisation: 'gone', fromMs: 0, toMs: 50, weight: 1_000 }])
  pastUse.prune(2 * HOUR_MS)
  assert.equal(pastUse.list(2 * HOUR_MS).length, 1)
  pastUse.prune(40 * HOUR_MS)
  assert.equal(pastUse.list(40 * HOUR_MS).length, 0)
})

test('past use: guards against the failure that a record of 340 organisations takes more than some tens of kilobytes', () => {
  const accounts = Array.from({ length: 340 }, (_, index) => ({ organisation: `organisation-${index}`, past: 1 / (index + 2) }))
  const text = formatPastUse({ writtenAtMs: 1_765_000_000_000, accounts })
  assert.ok(Buffer.byteLength(text) < 40_000)
  assert.equal(parsePastUse(text)._unsafeUnwrap().accounts.length, 340)
})

const records: ReadonlyArray<{ readonly guards: string, readonly text: string, readonly expected: readonly string[] | string }> = [
  { guards: 'a text that was cut off is used', text: '{"writtenAtMs":1,"accounts":[["zuu",0', expected: 'no-json' },
  { guards: 'null ends the process', text: 'null', expected: 'no-record' },
  { guards: 'a record without a time is used', text: '{"accounts":[["zuu",0.1]]}', expected: 'no-record' },
  { guards: 'accounts that are no list are used', text: '{"writtenAtMs":1,"accounts":{"zuu":1}}', expected: 'no-record' },
  { guards: 'one damaged account drops the others', text: '{"writtenAtMs":1,"accounts":[["a",0.1],["b",-1],["c",null],["d",1e300],["d"],[7,0],null,["e",0]]}', expected: ['a', 'e'] },
  { guards: 'an organisation is charged twice', text: '{"writtenAtMs":1,"accounts":[["a",0.1],["a",0.1]]}', expected: ['a'] },
  { guards: 'fields of a later release make a record unreadable', text: '{"writtenAtMs":1,"accounts":[["a",0.1,"more"]],"more":1}', expected: ['a'] },
  { guards: 'a name that is a field of each object breaks the accounts', text: '{"writtenAtMs":1,"accounts":[["__proto__",0.1]]}', expected: ['__proto__'] }
]

for (const { guards, text, expected } of records) {
  test(`past use record: guards against the failure that ${guards}`, () => {
    assert.deepEqual(parsePastUse(text).match(({ accounts }) => accounts.map(({ organisation }) => organisation), (fault) => fault), expected)
  })
}
