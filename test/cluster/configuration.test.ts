import assert from 'node:assert/strict'
import { test } from 'node:test'
import { applyRevision, EMPTY_CONFIGURATION } from '../../src/model/apply-revision.ts'
import { checkChanges } from '../../src/cluster/check-changes.ts'
import { restoreConfiguration, parseSnapshot, toSnapshot, buildSnapshotPuts } from '../../src/cluster/snapshot.ts'
import type { Change } from '../../src/model/configuration.ts'
import { bootstrap, DOMAIN_OUT, publish, resourcesForSlots, buildTeamChanges } from './operator.ts'
import { Simulation } from './simulation.ts'

/** Starts to watch the configurations; the returned function describes a member that returned to an older revision or differs from another in the same revision, or returns undefined. */
function watchRevisions (simulation: Simulation): () => string | undefined {
  const contents = new Map<number, string>()
  const newest = new Map<unknown, number>()
  let violation: string | undefined
  simulation.onStep = () => {
    for (const member of simulation.members.values()) {
      const { configuration } = member.cluster
      if (configuration.revision < (newest.get(member.cluster) ?? 0)) violation ??= `${member.id} returned to revision ${configuration.revision}`
      if (configuration.revision === newest.get(member.cluster)) continue
      newest.set(member.cluster, configuration.revision)
      const content = JSON.stringify([...configuration.drains.keys()].sort())
      if ((contents.get(configuration.revision) ?? content) !== content) violation ??= `${member.id} differs in revision ${configuration.revision}`
      contents.set(configuration.revision, content)
    }
  }
  return () => violation
}

function drainChange (host: string): readonly Change[] {
  return [{ kind: 'drain', name: host, value: { host } }]
}

test('configuration: it reverts, differs between members or loses an accepted change under faults and races', () => {
  for (let seed = 0; seed < 8; seed += 1) {
    const simulation = Simulation.create({ seed, groups: 2, messageLossRatio: 0.05, duplicationRatio: 0.1, responseLossRatio: 0.1 })
    const ids = bootstrap(simulation, 5)
    const getViolation = watchRevisions(simulation)
    const outcomes: { readonly host: string, readonly outcome: ReturnType<typeof publish> }[] = []
    for (let round = 0; round < 60; round += 1) {
      if (round === 20) simulation.storeState = 'slow'
      if (round === 30) simulation.storeState = 'down'
      if (round === 35) simulation.storeState = 'up'
      if (round === 40) { simulation.kill('m4'); simulation.start('m4', ids) }
      for (const id of [ids[round % 5]!, ids[(round + 1) % 5]!]) {
        const host = `${round}-${id}`
        outcomes.push({ host, outcome: publish(simulation, id, drainChange(host)) })
      }
      simulation.advance(300)
    }
    simulation.responseLossRatio = 0
    simulation.advance(20_000)
    assert.equal(getViolation(), undefined)
    const { drains } = simulation.getMember('m0').cluster.configuration
    const accepted = outcomes.filter(({ outcome }) => outcome()?.type === 'accepted')
    assert.ok(accepted.length > 10)
    for (const { host } of accepted) assert.ok(drains.has(host), `seed ${seed}: accepted ${host} is missing`)
    const refused = outcomes.filter(({ outcome }) => { const known = outcome(); return known?.type === 'conflict' || (known?.type === 'unavailable' && known.verdict === 'not-applied') })
    for (const { host } of refused) assert.ok(!drains.has(host), `seed ${seed}: refused ${host} is in force`)
    for (const id of ids) assert.equal(simulation.getMember(id).cluster.configuration.revision, simulation.getMember('m0').cluster.configuration.revision)
  }
})

test('configuration: two concurrent publishers both succeed, or the other is not told which revision is in force', () => {
  const simulation = Simulation.create({ seed: 2, groups: 2 })
  bootstrap(simulation, 3)
  simulation.advance(3_000)
  const outcomes = ['m0', 'm1', 'm2'].map((id) => publish(simulation, id, drainChange(id)))
  simulation.advance(3_000)
  const known = outcomes.map((outcome) => outcome())
  const winner = known.findIndex((outcome) => outcome?.type === 'accepted')
  known.forEach((outcome, index) => {
    if (index !== winner) assert.deepEqual(outcome, { type: 'conflict', revision: 1, author: `operator at m${winner}` })
  })
  const stale = publish(simulation, 'm0', drainChange('x'), 0)
  assert.deepEqual(stale(), { type: 'conflict', revision: 1, author: `operator at m${winner}` })
})

const publishCases = [
  { guards: 'a lost response is reported as a failure, or the change is written twice', responseLossRatio: 0.6, storeDown: false, disconnected: [] as string[], expected: 'accepted' },
  { guards: 'a change is accepted without the store', responseLossRatio: 0, storeDown: true, disconnected: [] as string[], expected: 'unavailable' },
  { guards: 'a change is accepted before a majority has it', responseLossRatio: 0, storeDown: false, disconnected: ['m1', 'm2'], expected: 'unavailable' }
]

for (const entry of publishCases) {
  test(`publish: ${entry.guards}`, () => {
    const simulation = Simulation.create({ seed: 7, groups: 2 })
    bootstrap(simulation, 3)
    simulation.advance(3_000)
    simulation.responseLossRatio = entry.responseLossRatio
    if (entry.storeDown) simulation.storeState = 'down'
    for (const id of entry.disconnected) simulation.getMember(id).isStoreUnreachable = true
    simulation.setPartitioned(['m0'], entry.disconnected, true)
    const outcome = publish(simulation, 'm0', drainChange('h'))
    simulation.advance(15_000)
    assert.equal(outcome()?.type, entry.expected)
    assert.equal(simulation.getMember('m0').cluster.configuration.revision, entry.storeDown ? 0 : 1)
  })
}

const propagationCases = [
  { guards: 'a change takes longer than 6 s although the store is slow', state: 'slow' as const, disconnected: [] },
  { guards: 'members that cannot reach the store are not informed by the one member that can', state: 'up' as const, disconnected: ['m0', 'm1', 'm2', 'm3'] }
]

for (const entry of propagationCases) {
  test(`configuration in force within 6 s: ${entry.guards}`, () => {
    for (let seed = 0; seed < 5; seed += 1) {
      const simulation = Simulation.create({ seed, groups: 2, messageLossRatio: 0.05 })
      const ids = bootstrap(simulation, 5)
      simulation.advance(3_000)
      for (const id of entry.disconnected) simulation.getMember(id).isStoreUnreachable = true
      simulation.storeState = entry.state
      const outcome = publish(simulation, 'm4', DOMAIN_OUT)
      const elapsedMs = simulation.advanceUntil(() => ids.every((id) => simulation.getMember(id).cluster.configuration.revision === 1), 10_000)
      assert.ok(elapsedMs !== undefined && elapsedMs <= 6_000, `seed ${seed}: ${elapsedMs} ms`)
      simulation.advance(6_000)
      assert.equal(outcome()?.type, 'accepted')
    }
  })
}

test('freshness: a member without store and majority reports itself as fresh, or one with a majority does not', () => {
  const simulation = Simulation.create({ seed: 8, groups: 2 })
  const ids = bootstrap(simulation, 5)
  simulation.advance(3_000)
  simulation.storeState = 'down'
  simulation.setPartitioned(['m0', 'm1'], ['m2', 'm3', 'm4'], true)
  simulation.advance(3_500)
  assert.deepEqual(ids.map((id) => simulation.isFresh(id)), [false, false, true, true, true])
  const changes = simulation.getMember('m0').effects.flatMap(({ effect }) => effect.type === 'freshness-changed' ? [effect.fresh] : [])
  assert.deepEqual(changes, [true, false])
  simulation.setPartitioned(['m0', 'm1'], ['m2', 'm3', 'm4'], false)
  simulation.advance(2_000)
  assert.ok(ids.every((id) => simulation.isFresh(id)))
})

test('freshness: a restarted member counts itself in the majority although it lost its revisions, or is fresh before it has the newest revision', () => {
  const simulation = Simulation.create({ seed: 9, groups: 2 })
  const ids = bootstrap(simulation, 3)
  simulation.advance(3_000)
  // m2 misses the revision that m0 and m1 accept.
  simulation.getMember('m2').isStoreUnreachable = true
  simulation.setPartitioned(['m2'], ['m0', 'm1'], true)
  const outcome = publish(simulation, 'm0', drainChange('h'))
  simulation.advance(2_000)
  assert.equal(outcome()?.type, 'accepted')
  simulation.storeState = 'down'
  simulation.kill('m1')
  simulation.setPartitioned(['m1'], ['m2'], false)
  simulation.setPartitioned(['m1'], ['m0'], true)
  simulation.start('m1', ids)
  simulation.advance(10_000)
  assert.equal(simulation.getMember('m1').cluster.configuration.revision, 0)
  assert.equal(simulation.isFresh('m1'), false)
  assert.equal(simulation.isFresh('m2'), false)
  simulation.setPartitioned(['m1'], ['m0'], false)
  simulation.advanceUntil(() => simulation.isFresh('m1'), 5_000)
  assert.equal(simulation.getMember('m1').cluster.configuration.revision, 1)
})

test('freshness: a new member in an outage does not learn from its peers', () => {
  const simulation = Simulation.create({ seed: 10, groups: 2 })
  const ids = bootstrap(simulation, 3)
  for (let index = 0; index < 320; index += 1) {
    const outcome = publish(simulation, 'm0', drainChange(`h${index}`))
    simulation.advanceUntil(() => outcome() !== undefined, 5_000)
  }
  simulation.storeState = 'down'
  simulation.advance(5_000)
  let early = false
  simulation.onStep = () => { early ||= simulation.isFresh('m3') && simulation.getMember('m3').cluster.configuration.revision < 320 }
  simulation.start('m3', ids)
  simulation.advance(3_000)
  assert.equal(early, false)
  assert.equal(simulation.getMember('m3').cluster.configuration.drains.size, 320)
  assert.ok(simulation.isFresh('m3'))
  simulation.storeState = 'up'
  simulation.start('m4', ids)
  simulation.advance(3_000)
  assert.equal(simulation.getMember('m4').cluster.configuration.drains.size, 320)
})

test('snapshot: a stored snapshot loses or mixes parts', () => {
  const changes = [...buildTeamChanges('team', 4), ...Array.from({ length: 20_000 }, (_, index) => drainChange(`host-${index}`)).flat(), ...DOMAIN_OUT]
  const configuration = applyRevision(EMPTY_CONFIGURATION, { revision: 1, author: 'a', at: 0, nonce: 'n', changes })
  const entries = buildSnapshotPuts(toSnapshot(configuration, 'a')).map((put) => ({ ...put, version: 1 }))
  assert.ok(entries.length > 1)
  assert.deepEqual(restoreConfiguration(parseSnapshot(entries)!), configuration)
  assert.equal(parseSnapshot(entries.slice(1)), undefined)
  assert.equal(parseSnapshot([]), undefined)
})

const invalidCases: readonly { readonly guards: string, readonly changes: readonly Change[], readonly error: RegExp }[] = [
  { guards: 'an empty revision', changes: [], error: /at least one/ },
  { guards: 'a value under another name', changes: [{ kind: 'drain', name: 'a', value: { host: 'b' } }], error: /named b/ },
  { guards: 'a team without its organisation', changes: buildTeamChanges('t', 1).slice(1), error: /organisation org/ },
  { guards: 'a negative limit', changes: [buildTeamChanges('t', 1)[0]!, { kind: 'team', name: 't', value: { name: 't', organisation: 'org', weight: 1, limit: { ...resourcesForSlots(1), slots: -1 }, waitingLimit: 1 } }], error: /slots/ },
  { guards: 'a key of an unknown team', changes: [{ kind: 'key', name: 'k', value: { id: 'k', team: 'none', salt: '', hash: '' } }], error: /team none/ }
]

for (const entry of invalidCases) {
  test(`check of changes: ${entry.guards} is accepted`, () => {
    assert.match(checkChanges(EMPTY_CONFIGURATION, entry.changes) ?? '', entry.error)
  })
}
