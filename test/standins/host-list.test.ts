import assert from 'node:assert/strict'
import { test } from 'node:test'
import { InMemoryHostList } from '../../src/standins/host-list.ts'
import { createTarget } from './fixtures.ts'

const first = createTarget('a', 'http://127.0.0.1:9001')
const second = createTarget('b', 'http://127.0.0.1:9002')

test('changes are visible neither before the lag has passed nor out of order', () => {
  const list = InMemoryHostList.create({ targets: [first], lagMs: 100 })
  list.put(0, second)
  list.setState(50, 'b', 'leaving')
  list.remove(80, 'a')
  const seen = [99, 100, 150, 180].map((now) => list.read(now).targets.map((target) => `${target.id} ${target.state}`))
  assert.deepEqual(seen, [['a live'], ['a live', 'b live'], ['a live', 'b leaving'], ['b leaving']])
  assert.equal(list.read(200).ageMs, 100)
})

test('a state change of a removed host does not add it to the list again', () => {
  const list = InMemoryHostList.create({ targets: [first], lagMs: 0 })
  list.remove(0, 'a')
  list.setState(1, 'a', 'leaving')
  assert.deepEqual(list.read(2).targets, [])
})
