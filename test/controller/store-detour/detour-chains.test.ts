import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LEADER_KEY } from '../../../src/controller/records/store-keys.ts'
import { playLeaderChain } from '../leader-chains.ts'
import { VirtualCell } from '../virtual-cell.ts'
import { VIRTUAL_FAULTS } from '../virtual-faults.ts'

const FIRST_SEED = Number(process.env.SEED ?? 1)
const SEEDS = Number(process.env.SEEDS ?? 8)
const REFUSALS = VIRTUAL_FAULTS.filter(({ name }) => ['store rejects a member', 'store is silent to a member'].includes(name))

/** Members are refused by the store as often as all other faults together. */
const FAULTS = VIRTUAL_FAULTS.flatMap((fault) => [fault, ...REFUSALS.slice(0, 1)]).concat(REFUSALS)

test('store detour: guards against the failure that work runs twice, starts too late, or never ends, after any order of refusals, takeovers, late writes and power cuts', async (context) => {
  let detours = 0
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    const { violations, unfinished, delays, cell } = await playLeaderChain(seed, FAULTS, { hasDetour: true })
    detours += cell.logs.filter(({ message }) => message === 'store-detour-begun').length
    assert.deepEqual([violations, unfinished, delays], [[], [], []], `seed ${seed}`)
  }
  context.diagnostic(`${detours} detours`)
  assert.ok(detours >= SEEDS, `${detours} detours`)
})

function pauseLeader ({ time, leaders }: VirtualCell): void {
  const { process } = leaders[0]!
  time.pause(process)
  time.schedule(6_000, () => time.resume(process))
}

const replacements = [
  { how: 'is paused', service: 'rejected', replace: pauseLeader },
  { how: 'is paused', service: 'silent', replace: pauseLeader },
  { how: 'is removed by mistake', service: 'rejected', replace: (cell: VirtualCell) => cell.store.remove(LEADER_KEY) },
  { how: 'is removed by mistake', service: 'silent', replace: (cell: VirtualCell) => cell.store.remove(LEADER_KEY) }
] as const

for (const { how, service, replace } of replacements) {
  test(`store detour: guards against the failure that a leader that uses a proxy and ${how} goes on beside its successor: ${service}`, async () => {
    const cell = VirtualCell.create(5, { members: 4, targets: 4, longestLeaseMs: 10_000, hasDetour: true })
    try {
      await cell.time.advance(3_000)
      const first = cell.leaders[0]!
      first.connection.service = service
      cell.submitLasting(cell.hosts.find((host) => host !== first)!, 'lasting', 4)
      await cell.time.advance(4_000)
      assert.deepEqual(cell.leaders, [first], 'it keeps the leadership through a proxy')
      replace(cell)
      await cell.time.advance(20_000)
      assert.equal(cell.leaders.length, 1)
      assert.notEqual(cell.leaders[0], first)
      assert.deepEqual(cell.violations, [])
    } finally {
      cell.close()
    }
  })
}
