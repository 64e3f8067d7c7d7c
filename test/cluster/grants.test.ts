import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Context } from '../../src/cluster/context.ts'
import { GrantHolder } from '../../src/cluster/grant-holder.ts'
import { waterFill } from '../../src/cluster/water-filling.ts'
import type { GrantMessage } from '../../src/model/peer.ts'
import { NO_RESOURCES } from '../../src/model/resources.ts'
import { bootstrap, publish, resourcesForSlots, buildTeamChanges } from './operator.ts'
import { Simulation } from './simulation.ts'
import type { SimulationOptions } from './simulation.ts'
import { Workload } from './workload.ts'

const GROUPS = 6
const LIMIT = 60
const TEAM = 'team'

type Trial = { readonly simulation: Simulation, readonly workload: Workload, readonly ids: readonly string[], readonly getMaxCountedSlots: () => number }

function createTrial (seed: number, options: Partial<SimulationOptions> = {}): Trial {
  const simulation = Simulation.create({ seed, groups: GROUPS, ...options })
  const ids = bootstrap(simulation, 3)
  simulation.advance(4_000)
  publish(simulation, 'm0', buildTeamChanges(TEAM, LIMIT))
  simulation.advance(2_000)
  const workload = Workload.create(simulation, TEAM, GROUPS, seed)
  let maxCountedSlots = 0
  simulation.onStep = () => { maxCountedSlots = Math.max(maxCountedSlots, workload.countedSlots) }
  return { simulation, workload, ids, getMaxCountedSlots: () => maxCountedSlots }
}

const faultCases: readonly { readonly guards: string, readonly options: Partial<SimulationOptions>, readonly inject: (trial: Trial, round: number) => void }[] = [
  { guards: 'demand that moves between groups', options: {}, inject: () => {} },
  { guards: 'lost, late and duplicated messages', options: { messageLossRatio: 0.1, duplicationRatio: 0.3 }, inject: () => {} },
  {
    guards: 'deaths and restarts of keepers and holders',
    options: { messageLossRatio: 0.02, duplicationRatio: 0.2 },
    inject: ({ simulation, ids }, round) => {
      if (round % 8 !== 3) return
      const id = ids[round % 3]!
      simulation.kill(id)
      simulation.schedule(round % 2 === 0 ? 100 : 8_000, () => { simulation.start(id, ids) })
    }
  },
  {
    guards: 'pauses and partitions',
    options: { duplicationRatio: 0.2 },
    inject: ({ simulation, ids }, round) => {
      if (round % 6 === 2) simulation.pause(ids[round % 3]!, 5_000)
      if (round % 6 === 5) simulation.setPartitioned([ids[round % 3]!], ids.filter((_, index) => index !== round % 3), true)
      if (round % 6 === 0) simulation.setPartitioned(ids, ids, false)
    }
  }
]

for (const entry of faultCases) {
  test(`grants: their sum exceeds the limit under ${entry.guards}`, () => {
    for (let seed = 0; seed < 6; seed += 1) {
      const currentTrial = createTrial(seed, entry.options)
      for (let round = 0; round < 40; round += 1) {
        currentTrial.workload.shuffleDemand(40)
        entry.inject(currentTrial, round)
        currentTrial.simulation.advance(1_500)
      }
      assert.ok(currentTrial.getMaxCountedSlots() <= LIMIT, `seed ${seed}: ${currentTrial.getMaxCountedSlots()} of ${LIMIT}`)
      assert.ok(currentTrial.getMaxCountedSlots() > LIMIT / 2, `seed ${seed}: only ${currentTrial.getMaxCountedSlots()} of ${LIMIT} were used`)
    }
  })
}

test('grants: the check for the limit does not detect a keeper whose grants are larger than its ledger', () => {
  const currentTrial = createTrial(1, { tamperMessage: (message) => message.type === 'grant-given' ? { ...message, amount: { ...message.amount, slots: message.amount.slots + 5 } } : message })
  for (let round = 0; round < 10; round += 1) {
    currentTrial.workload.shuffleDemand(40)
    currentTrial.simulation.advance(1_000)
  }
  assert.ok(currentTrial.getMaxCountedSlots() > LIMIT)
})

test('grants: the whole limit is not available to the group with the demand, or does not follow the demand', () => {
  const { simulation, workload } = createTrial(2)
  for (const group of [0, 3, 5, 3]) {
    workload.demand.clear()
    workload.demand.set(group, 2 * LIMIT)
    assert.ok(simulation.advanceUntil(() => workload.runningSlots === LIMIT, 2_000) !== undefined, `group ${group}: ${workload.runningSlots}`)
  }
})

test('grants: a lowered limit is not reached, or is exceeded again', () => {
  const { simulation, workload } = createTrial(3)
  workload.shuffleDemand(40)
  simulation.advance(1_000)
  publish(simulation, 'm1', buildTeamChanges(TEAM, 20))
  simulation.advance(3_000)
  const getGrantedSlots = () => [0, 1, 2, 3, 4, 5].reduce((sum, group) => sum + (simulation.getMember(simulation.getActingMembers(group)[0]!).cluster.getGrant(group, TEAM)?.slots ?? 0), 0)
  assert.ok(getGrantedSlots() <= 20, `${getGrantedSlots()} are granted`)
  // Tasks above the new limit end, then new demand arrives.
  workload.demand.clear()
  simulation.advance(3_000)
  let maxCountedSlots = 0
  simulation.onStep = () => { maxCountedSlots = Math.max(maxCountedSlots, workload.countedSlots) }
  for (let round = 0; round < 10; round += 1) {
    workload.shuffleDemand(40)
    simulation.advance(1_000)
  }
  assert.ok(maxCountedSlots <= 20, `${maxCountedSlots} are counted`)
  assert.ok(workload.runningSlots > 15)
})

test('grants: a late grant of the previous keeper is accepted after the report to its successor', () => {
  const context = Context.create({ member: 'm0', incarnation: '1', address: 'm0:1', failureDomain: 'bole', seedPeers: [], groups: 2, seed: 1, getUsage: () => NO_RESOURCES })
  const sent: GrantMessage[] = []
  const holder = GrantHolder.create(context, 0, 1, { getKeeper: () => 1, getLimit: () => resourcesForSlots(LIMIT), send: (_, message) => sent.push(message) })
  holder.recover([], [])
  holder.createReport(1, 4)
  holder.updateDemand(TEAM, NO_RESOURCES, resourcesForSlots(10))
  const request = sent.at(-1)
  assert.ok(request?.type === 'grant-asked')
  holder.createReport(1, 5)
  const grant = { type: 'grant-given', keeper: 1, group: 0, epoch: 1, sequence: request.sequence, team: TEAM, amount: resourcesForSlots(10) } as const
  holder.handleGrant({ ...grant, keeperEpoch: 4 })
  assert.deepEqual(holder.getAmount(TEAM), NO_RESOURCES)
  assert.equal(holder.createReport(1, 4), undefined)
  holder.handleGrant({ ...grant, keeperEpoch: 5 })
  assert.deepEqual(holder.getAmount(TEAM), resourcesForSlots(10))
})

const waterFillCases = [
  { guards: 'a unit is left over although a need is unmet', available: 10, needs: [2, 9, 9], shares: [2, 4, 4] },
  { guards: 'a remainder that does not divide evenly is lost', available: 11, needs: [2, 9, 9], shares: [2, 4, 5] },
  { guards: 'a group gets more than its need', available: 100, needs: [1, 0, 3], shares: [1, 0, 3] },
  { guards: 'a limit below zero makes shares negative', available: -4, needs: [1, 2], shares: [0, 0] }
]

for (const entry of waterFillCases) {
  test(`waterFill: ${entry.guards}`, () => {
    assert.deepEqual(waterFill(entry.available, entry.needs), entry.shares)
  })
}
