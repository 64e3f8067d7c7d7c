import type { GroupNumber, TeamName } from '../../src/model/ids.ts'
import { add, NO_RESOURCES } from '../../src/model/resources.ts'
import type { Resources } from '../../src/model/resources.ts'
import { Random } from '../../src/util/random.ts'
import { resourcesForSlots } from './operator.ts'
import type { Simulation } from './simulation.ts'

/** Simulates the schedulers: each group runs as much of its demand as its grant allows. */
export class Workload {
  readonly demand = new Map<GroupNumber, number>()
  private readonly random: Random

  private constructor (private readonly simulation: Simulation, private readonly team: TeamName, private readonly groups: number, seed: number) {
    this.random = Random.create(seed)
  }

  static create (simulation: Simulation, team: TeamName, groups: number, seed: number): Workload {
    const workload = new Workload(simulation, team, groups, seed)
    simulation.repeat(5, () => workload.runTasks())
    return workload
  }

  /** Sets the demand of every group to a random number of slots below `limit`. */
  shuffleDemand (limit: number): void {
    for (let group = 0; group < this.groups; group += 1) this.demand.set(group, this.random.nextInt(limit))
  }

  /** Number of slots that are in use in all groups. */
  get runningSlots (): number {
    return [...this.simulation.running.values()].reduce((sum, amount) => sum + amount.slots, 0)
  }

  /** Number of slots that count against the limit: the grants of acting owners, and the slots in use in groups without one. */
  get countedSlots (): number {
    let sum = NO_RESOURCES
    for (let group = 0; group < this.groups; group += 1) sum = add(sum, this.getCountedIn(group))
    return sum.slots
  }

  private getCountedIn (group: GroupNumber): Resources {
    const [owner] = this.simulation.getActingMembers(group)
    const running = this.simulation.running.get(`${group}/${this.team}`) ?? NO_RESOURCES
    return owner === undefined ? running : this.simulation.getMember(owner).cluster.getHeldAmount(group, this.team) ?? running
  }

  private runTasks (): void {
    for (let group = 0; group < this.groups; group += 1) {
      const [owner] = this.simulation.getActingMembers(group)
      if (owner === undefined) continue
      const member = this.simulation.getMember(owner)
      const wanted = this.demand.get(group) ?? 0
      const grantedSlots = member.cluster.getGrant(group, this.team)?.slots ?? 0
      const key = `${group}/${this.team}`
      const running = this.simulation.running.get(key)?.slots ?? 0
      const used = wanted < running ? wanted : Math.max(running, Math.min(wanted, grantedSlots))
      this.simulation.running.set(key, resourcesForSlots(used))
      this.simulation.apply(member, { type: 'demand-changed', group, team: this.team, used: resourcesForSlots(used), wanted: resourcesForSlots(wanted) })
    }
  }
}
