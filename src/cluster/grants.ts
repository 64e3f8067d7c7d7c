import type { Configuration } from '../model/configuration.ts'
import type { Epoch, GroupNumber, TeamName } from '../model/ids.ts'
import type { GrantMessage, TeamAmount } from '../model/peer.ts'
import { hash } from '../util/hash.ts'
import type { Resources } from '../model/resources.ts'
import { assertNever } from '../util/assert-never.ts'
import type { Context } from './context.ts'
import { GrantHolder } from './grant-holder.ts'
import { GrantKeeper } from './grant-keeper.ts'
import type { Membership } from './membership.ts'
import type { Ownership } from './ownership.ts'

/** Manages the grant keepers and grant holders of the groups that this member owns, and routes their messages. */
export class Grants {
  private readonly keepers = new Map<GroupNumber, GrantKeeper>()
  private readonly holders = new Map<GroupNumber, GrantHolder>()
  /** Messages between groups of this member that are not yet delivered. */
  private localMessages: GrantMessage[] = []

  private constructor (private readonly context: Context, private readonly membership: Membership, private readonly ownership: () => Ownership, private readonly configuration: () => Configuration) {}

  static create (context: Context, membership: Membership, ownership: () => Ownership, configuration: () => Configuration): Grants {
    return new Grants(context, membership, ownership, configuration)
  }

  handleAcquired (group: GroupNumber, epoch: Epoch): void {
    const getLimit = (team: TeamName): Resources | undefined => this.configuration().teams.get(team)?.limit
    this.keepers.set(group, GrantKeeper.create(this.context, group, epoch, {
      getOwnerEpoch: (other) => this.ownership().getOwner(other)?.epoch,
      getLimit,
      send: (to, message) => this.send(to, message),
      requestReports: (groups, message) => this.requestReports(groups, message)
    }))
    this.holders.set(group, GrantHolder.create(this.context, group, epoch, {
      getKeeper: (team) => this.getKeeper(team),
      getLimit,
      send: (to, message) => this.send(to, message)
    }))
  }

  handleReleased (group: GroupNumber): void {
    this.keepers.delete(group)
    this.holders.delete(group)
  }

  handleRecovered (group: GroupNumber, used: readonly TeamAmount[]): void {
    this.holders.get(group)?.recover(used, this.configuration().teams.keys())
  }

  updateDemand (group: GroupNumber, team: TeamName, used: Resources, wanted: Resources): void {
    this.holders.get(group)?.updateDemand(team, used, wanted)
  }

  handleConfigurationApplied (): void {
    for (const holder of this.holders.values()) holder.handleTeamsChanged(this.configuration().teams.keys())
    for (const [group, keeper] of this.keepers) if (this.mayAct(group)) keeper.handleLimitsChanged()
  }

  tick (): void {
    for (const [group, keeper] of this.keepers) if (this.mayAct(group)) keeper.tick()
    for (const [group, holder] of this.holders) if (this.mayAct(group)) holder.tick()
  }

  handleMessage (message: GrantMessage): void {
    switch (message.type) {
      case 'grant-report-asked': return this.sendReports(message.keeper, message.keeperEpoch)
      case 'grant-report': return this.findActingKeeper(message.keeper)?.handleReport(message)
      case 'grant-asked': return this.findActingKeeper(message.keeper)?.handleRequest(message)
      case 'grant-given': return this.holders.get(message.group)?.handleGrant(message)
      case 'grant-recalled': return this.holders.get(message.group)?.handleRecall(message)
      default: return assertNever(message)
    }
  }

  /** Delivers the messages between groups of this member. */
  deliverLocalMessages (): void {
    while (this.localMessages.length > 0) {
      const messages = this.localMessages
      this.localMessages = []
      for (const message of messages) this.handleMessage(message)
    }
  }

  getAmount (group: GroupNumber, team: TeamName): Resources | undefined {
    return this.holders.get(group)?.getAmount(team)
  }

  getHeldAmount (group: GroupNumber, team: TeamName): Resources | undefined {
    return this.holders.get(group)?.getHeldAmount(team)
  }

  private getKeeper (team: TeamName): GroupNumber {
    return hash(team) % this.context.options.groups
  }

  private mayAct (group: GroupNumber): boolean {
    return this.ownership().mayAct(group, this.context.now)
  }

  private findActingKeeper (group: GroupNumber): GrantKeeper | undefined {
    return this.mayAct(group) ? this.keepers.get(group) : undefined
  }

  private sendReports (keeper: GroupNumber, keeperEpoch: Epoch): void {
    for (const [group, holder] of this.holders) {
      const report = this.mayAct(group) ? holder.createReport(keeper, keeperEpoch) : undefined
      if (report !== undefined) this.send(keeper, report)
    }
  }

  private requestReports (groups: readonly GroupNumber[], message: GrantMessage): void {
    const requestedOwners = new Set<string>()
    for (const group of groups) {
      const owner = this.ownership().getOwner(group)?.owner
      if (owner === undefined || requestedOwners.has(owner)) continue
      requestedOwners.add(owner)
      this.send(group, message)
    }
  }

  private send (group: GroupNumber, message: GrantMessage): void {
    const owner = this.ownership().getOwner(group)
    if (owner === undefined) return this.context.outbox.count('grant-messages-skipped', 'no-owner')
    if (owner.owner === this.context.options.member) this.localMessages.push(message)
    else this.membership.send(owner.owner, message)
  }
}
