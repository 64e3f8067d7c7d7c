/**
 * Store calls by purpose, peer traffic and processor time of members, in virtual time.
 * Run with `node --import tsx bench/cluster.ts`.
 */
import { encodeMessage } from '../src/adapters/message-codec.ts'
import type { GroupSummary } from '../src/model/peer.ts'
import { bootstrap, publish, resourcesForSlots, buildTeamChanges } from '../test/cluster/operator.ts'
import { Simulation } from '../test/cluster/simulation.ts'

const SECONDS = 60

/** 13,000 changes of configuration a day. */
const CHANGE_INTERVAL_MS = 86_400_000 / 13_000

function measure (groups: number, members: number, teams: number, changes: boolean): void {
  const simulation = Simulation.create({ seed: 1, groups })
  const ids = bootstrap(simulation, members)
  simulation.advance(10_000)
  for (const id of ids) {
    const member = simulation.getMember(id)
    for (let group = 0; group < groups; group += 1) {
      const epoch = member.cluster.getHeldEpoch(group)
      if (epoch === undefined) continue
      const summary: GroupSummary = { group, epoch, ready: true, free: resourcesForSlots(31), largestFree: resourcesForSlots(7), waiting: 1_234 }
      simulation.apply(member, { type: 'summary-changed', summary })
    }
  }
  if (teams > 0) publish(simulation, 'm0', Array.from({ length: teams }, (_, index) => buildTeamChanges(`team-${index}`, 400)).flat())
  simulation.advance(5_000)
  if (changes) {
    let change = 0
    simulation.repeat(CHANGE_INTERVAL_MS, () => {
      change += 1
      publish(simulation, ids[change % members]!, [{ kind: 'drain', name: `host-${change}`, value: { host: `host-${change}` } }])
    })
  }
  simulation.counters.clear()
  let bytes = 0
  let messages = 0
  simulation.onSend = (message) => {
    bytes += encodeMessage({ from: 'm0', incarnation: '000000000000', message }).length
    messages += 1
  }
  const before = process.cpuUsage()
  simulation.advance(SECONDS * 1_000)
  const used = process.cpuUsage(before)
  const part = (used.user + used.system) / 1e6 / SECONDS / members
  const calls = [...simulation.counters].filter(([key]) => key.startsWith('store-calls/')).map(([key, count]) => `${key.slice('store-calls/'.length)} ${(count / SECONDS).toFixed(2)}/s`)
  console.log(`${groups} groups, ${members} members, ${teams} teams${changes ? ', 13,000 changes a day' : ''}: store calls of all members: ${calls.join(', ')}; peer messages of one member ${(messages / SECONDS / members).toFixed(1)}/s, ${(bytes / SECONDS / members).toFixed(0)} bytes/s sent; ${(100 * part).toFixed(2)}% of a core for each member, the simulation and the encoding included`)
}

/** Most calls in one second after a store outage of five minutes in which a member died. */
function outage (groups: number): void {
  const simulation = Simulation.create({ seed: 12, groups })
  bootstrap(simulation, 7)
  simulation.advance(5_000)
  simulation.callsPerSecond.clear()
  simulation.storeState = 'down'
  simulation.advance(150_000)
  simulation.kill('m0')
  simulation.advance(150_000)
  const seconds = () => [...simulation.callsPerSecond.values()]
  const most = (name: 'reads' | 'writes') => Math.max(...seconds().map((calls) => calls[name]))
  const during = `${most('writes')} writes/s and ${most('reads')} reads/s`
  simulation.callsPerSecond.clear()
  simulation.storeState = 'up'
  const took = simulation.advanceUntil(() => simulation.isEveryGroupOwned(), 20_000)
  simulation.advance(20_000)
  console.log(`${groups} groups, store outage of 300 s: at most ${during} during it, ${most('writes')} writes/s and ${most('reads')} reads/s after it; all groups owned ${took} ms after it`)
}

measure(4, 3, 6, false)
measure(8, 7, 6, false)
measure(8, 7, 6, true)
measure(64, 7, 340, true)
outage(8)
outage(64)
