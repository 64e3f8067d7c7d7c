/**
 * How near to its limit a team gets, and how soon grants follow demand, in virtual time.
 * Run with `node --import tsx bench/grants.ts`.
 */
import { encodeMessage } from '../src/adapters/message-codec.ts'
import { Random } from '../src/util/random.ts'
import { bootstrap, publish, resourcesForSlots, buildTeamChanges } from '../test/cluster/operator.ts'
import { Simulation } from '../test/cluster/simulation.ts'
import { Workload } from '../test/cluster/workload.ts'

const TEAM = 'team'
const LIMIT = 400

type Shape = { readonly groups: number, readonly members: number }

function prepare (seed: number, { groups, members }: Shape): { simulation: Simulation, workload: Workload } {
  const simulation = Simulation.create({ seed, groups })
  bootstrap(simulation, members)
  simulation.advance(5_000)
  publish(simulation, 'm0', buildTeamChanges(TEAM, LIMIT))
  simulation.advance(2_000)
  return { simulation, workload: Workload.create(simulation, TEAM, groups, seed) }
}

/** Mean part of the limit that runs while demand, at `load` times the limit in all, moves between the groups. */
function nearness (seed: number, shape: Shape, load: number): { readonly used: number, readonly most: number } {
  const { simulation, workload } = prepare(seed, shape)
  let most = 0
  const samples: number[] = []
  simulation.repeat(50, () => {
    most = Math.max(most, workload.countedSlots)
    const wanted = [...workload.demand.values()].reduce((sum, slots) => sum + slots, 0)
    if (wanted > 0) samples.push(workload.runningSlots / Math.min(LIMIT, wanted))
  })
  for (let round = 0; round < 30; round += 1) {
    workload.shuffleDemand(2 * load * LIMIT / shape.groups)
    simulation.advance(1_000)
  }
  return { used: samples.reduce((sum, part) => sum + part, 0) / samples.length, most }
}

/** Milliseconds until the whole limit runs in one group after its demand rises, first with free grants, then with grants held elsewhere. */
function delays (seed: number, shape: Shape): { readonly free: number, readonly recalled: number } {
  const { simulation, workload } = prepare(seed, shape)
  workload.demand.set(0, LIMIT / 2)
  const free = simulation.advanceUntil(() => workload.runningSlots >= LIMIT / 2, 5_000) ?? Infinity
  workload.demand.set(0, LIMIT)
  simulation.advance(3_000)
  workload.demand.clear()
  simulation.advance(50)
  workload.demand.set(shape.groups - 1, LIMIT)
  const recalled = simulation.advanceUntil(() => workload.runningSlots >= LIMIT, 5_000) ?? Infinity
  return { free, recalled }
}

/** Grant messages and processor time with many teams whose demand changes 1,680 times a second (840 starts and ends). */
function fullSize (): void {
  const [groups, members, teams, seconds] = [64, 7, 340, 10]
  const simulation = Simulation.create({ seed: 1, groups })
  bootstrap(simulation, members)
  simulation.advance(5_000)
  publish(simulation, 'm0', Array.from({ length: teams }, (_, index) => buildTeamChanges(`team-${index}`, 200)).flat())
  simulation.advance(2_000)
  const random = Random.create(1)
  const used = new Map<string, number>()
  simulation.repeat(1000 / 1_680, () => {
    const group = random.nextInt(groups)
    const team = `team-${random.nextInt(teams)}`
    const [owner] = simulation.getActingMembers(group)
    if (owner === undefined) return
    const count = Math.max(0, (used.get(`${group}/${team}`) ?? 1) + (random.next() < 0.5 ? -1 : 1))
    used.set(`${group}/${team}`, count)
    simulation.running.set(`${group}/${team}`, resourcesForSlots(count))
    simulation.apply(simulation.getMember(owner), { type: 'demand-changed', group, team, used: resourcesForSlots(count), wanted: resourcesForSlots(count) })
  })
  simulation.advance(10_000)
  let messages = 0
  let bytes = 0
  simulation.onSend = (message) => {
    if (!message.type.startsWith('grant')) return
    messages += 1
    bytes += encodeMessage(message).length
  }
  const before = process.cpuUsage()
  simulation.advance(seconds * 1_000)
  const { user, system } = process.cpuUsage(before)
  console.log(`${groups} groups, ${members} members, ${teams} teams, 1,680 changes of demand a second: ${(messages / seconds / members).toFixed(0)} grant messages/s and ${(bytes / seconds / members).toFixed(0)} bytes/s sent by each member; ${((user + system) / 1e4 / seconds / members).toFixed(1)}% of a core for each member, the simulation included`)
}

function percentile (values: readonly number[], part: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0
}

const SEEDS = Array.from({ length: 20 }, (_, seed) => seed)
const shapes: readonly Shape[] = [{ groups: 2, members: 2 }, { groups: 4, members: 3 }, { groups: 8, members: 7 }, { groups: 64, members: 7 }]

for (const shape of shapes) {
  const seeds = shape.groups > 8 ? SEEDS.slice(0, 3) : SEEDS
  const found = seeds.map((seed) => delays(seed, shape))
  const free = found.map((delay) => delay.free)
  const recalled = found.map((delay) => delay.recalled)
  console.log(`${shape.groups} groups, ${shape.members} members: grant of free units p50 ${percentile(free, 0.5)} ms, max ${Math.max(...free)} ms; of recalled units p50 ${percentile(recalled, 0.5)} ms, max ${Math.max(...recalled)} ms`)
  for (const load of shape.groups > 8 ? [0.9] : [0.5, 0.9, 1.5]) {
    const { used, most } = nearness(1, shape, load)
    console.log(`  demand of ${load} times the limit, moved every second: ${(100 * used).toFixed(1)}% of what could run did run, at most ${most} of ${LIMIT} counted`)
  }
}

fullSize()
