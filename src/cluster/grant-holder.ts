import type { Epoch, GroupNumber, TeamName } from '../model/ids.ts'
import type { GrantMessage, TeamAmount } from '../model/peer.ts'
import { fits, NO_RESOURCES, RESOURCE_NAMES } from '../model/resources.ts'
import type { Resources } from '../model/resources.ts'
import type { Context } from './context.ts'
import { maxResources, minResources, createResources, equalResources } from './water-filling.ts'

type GivenGrant = Extract<GrantMessage, { readonly type: 'grant-given' }>
type GrantRecall = Extract<GrantMessage, { readonly type: 'grant-recalled' }>

/** The state of one team's grant in the group. */
type Holding = {
  /** The amount that the group may use. */
  amount: Resources
  /** The held amount last reported to the keeper. It exceeds `amount` until the tasks above a lowered grant have ended. */
  reported: Resources
  wanted: Resources
  /** Sequence of the newest message to the keeper about this team. */
  sequence: number
  requestedAt: number
  requestedWanted: Resources
  responded: boolean
  contendedUntil: number
}

/** Functions that a grant holder calls. */
export type GrantHolderHooks = {
  readonly getKeeper: (team: TeamName) => GroupNumber
  readonly getLimit: (team: TeamName) => Resources | undefined
  readonly send: (keeper: GroupNumber, message: GrantMessage) => void
}

/** With at most this many groups, each group requests a share of every team's limit at the start, whether it needs one or not. */
const SPARE_SHARE_MAX_GROUPS = 8
/** A group with an unmet need repeats its request at this interval, in case the keeper has changed. */
const REQUEST_REPEAT_INTERVAL_MS = 1_000
/**
 * While the team is contended (other groups lack its units), a need that changed by more than an eighth is reported at this
 * interval. At other times a need that the grant covers is not reported; a recall from the keeper requests it once units
 * are lacking.
 */
const CONTENDED_REQUEST_INTERVAL_MS = 200
const SIGNIFICANT_CHANGE_DIVISOR = 8
/** How long a recall marks the team as contended. The keeper repeats recalls at least every 5 s while units are lacking. */
const CONTENTION_DURATION_MS = 6_000

/** Manages the grants that one owned group holds, under one epoch. */
export class GrantHolder {
  private readonly holdings = new Map<TeamName, Holding>()
  /** Teams for which a request to the keeper may become due. */
  private readonly openTeams = new Set<TeamName>()
  private readonly keeperEpochs = new Map<GroupNumber, Epoch>()
  private sequence = 0
  private hasRecovered = false

  private constructor (private readonly context: Context, private readonly group: GroupNumber, private readonly epoch: Epoch, private readonly hooks: GrantHolderHooks) {}

  static create (context: Context, group: GroupNumber, epoch: Epoch, hooks: GrantHolderHooks): GrantHolder {
    return new GrantHolder(context, group, epoch, hooks)
  }

  /** Sets the initial amounts to what is running on the group's targets. */
  recover (used: readonly TeamAmount[], teams: Iterable<TeamName>): void {
    if (this.hasRecovered) return
    this.hasRecovered = true
    for (const { team, amount } of used) this.setAmount(team, this.getOrCreateHolding(team), amount)
    this.handleTeamsChanged(teams)
  }

  /** Lowers the amounts that exceed a changed limit at once; further reductions follow from the keeper's recalls. */
  handleTeamsChanged (teams: Iterable<TeamName>): void {
    if (!this.hasRecovered) return
    for (const [team, holding] of this.holdings) {
      const limit = this.hooks.getLimit(team) ?? NO_RESOURCES
      if (!fits(holding.amount, limit)) this.lowerAmount(team, holding, limit)
    }
    if (this.context.options.groups > SPARE_SHARE_MAX_GROUPS) return
    for (const team of teams) {
      if (!this.holdings.has(team)) this.sendRequest(team, this.getOrCreateHolding(team))
    }
  }

  updateDemand (team: TeamName, used: Resources, wanted: Resources): void {
    const holding = this.getOrCreateHolding(team)
    holding.wanted = maxResources(used, wanted)
    this.openTeams.add(team)
    if (this.hasRecovered && !fits(holding.wanted, holding.amount) && !fits(holding.wanted, holding.requestedWanted)) this.sendRequest(team, holding)
  }

  tick (): void {
    if (!this.hasRecovered) return
    const { now, timings } = this.context
    for (const team of this.openTeams) {
      const holding = this.getOrCreateHolding(team)
      if (this.isRequestDue(team, holding, now - holding.requestedAt, timings.grantRetryMs)) this.sendRequest(team, holding)
      else if (isUpToDate(holding, now)) this.openTeams.delete(team)
    }
  }

  /** Builds the report of what the group holds of one keeper's teams. Grants of older epochs of the keeper are refused from then on. */
  createReport (keeper: GroupNumber, keeperEpoch: Epoch): GrantMessage | undefined {
    if (!this.hasRecovered || keeperEpoch < (this.keeperEpochs.get(keeper) ?? 0)) return undefined
    this.keeperEpochs.set(keeper, keeperEpoch)
    const heldAmounts: TeamAmount[] = []
    for (const [team, holding] of this.holdings) {
      if (this.hooks.getKeeper(team) !== keeper) continue
      holding.reported = this.computeHeldAmount(team, holding)
      holding.responded = false
      this.openTeams.add(team)
      holding.requestedAt = Math.min(holding.requestedAt, this.context.now - this.context.timings.grantRetryMs / 2)
      heldAmounts.push({ team, amount: holding.reported })
    }
    return { type: 'grant-report', keeper, keeperEpoch, group: this.group, epoch: this.epoch, sequence: this.sequence, held: heldAmounts }
  }

  handleGrant (message: GivenGrant): void {
    const holding = this.holdings.get(message.team)
    if (holding === undefined || !this.isCurrent(message) || message.sequence !== holding.sequence) return
    holding.responded = true
    // Only an amount above the reported one is an increase; a lower one may merely cover tasks above a lowered grant.
    const limit = this.hooks.getLimit(message.team) ?? NO_RESOURCES
    const { reported, amount } = holding
    const increase = createResources((name) => message.amount[name] > reported[name] ? Math.min(message.amount[name], limit[name]) : 0)
    holding.reported = maxResources(reported, message.amount)
    this.setAmount(message.team, holding, maxResources(amount, increase))
  }

  handleRecall (message: GrantRecall): void {
    const holding = this.holdings.get(message.team)
    if (holding === undefined || !this.isCurrent(message)) return
    holding.contendedUntil = this.context.now + CONTENTION_DURATION_MS
    this.openTeams.add(message.team)
    // Another group lacks the team's units, so this group also returns what it does not need.
    const maxAmount = minResources(message.wanted, maxResources(holding.wanted, this.context.options.getUsage(this.group, message.team)))
    if (!fits(holding.amount, maxAmount) || differsSignificantly(holding.wanted, holding.requestedWanted)) this.lowerAmount(message.team, holding, maxAmount)
  }

  getAmount (team: TeamName): Resources {
    return this.holdings.get(team)?.amount ?? NO_RESOURCES
  }

  /** Returns the amount that counts against the team's limit: the grant, or what is running if that is more. */
  getHeldAmount (team: TeamName): Resources {
    const holding = this.holdings.get(team)
    return holding === undefined ? NO_RESOURCES : this.computeHeldAmount(team, holding)
  }

  /** Whether another request for the team is due, `sinceMs` after the last one. */
  private isRequestDue (team: TeamName, holding: Holding, sinceMs: number, retryMs: number): boolean {
    if (!holding.responded && sinceMs >= retryMs) return true
    // Tasks that ran above a lowered grant have ended.
    if (sinceMs >= CONTENDED_REQUEST_INTERVAL_MS && !fits(holding.reported, holding.amount) && !equalResources(holding.reported, this.computeHeldAmount(team, holding))) return true
    if (!fits(holding.wanted, holding.amount)) return sinceMs >= REQUEST_REPEAT_INTERVAL_MS
    const contended = this.context.now < holding.contendedUntil
    return contended && sinceMs >= CONTENDED_REQUEST_INTERVAL_MS && differsSignificantly(holding.wanted, holding.requestedWanted)
  }

  private isCurrent (message: GivenGrant | GrantRecall): boolean {
    return this.hasRecovered && message.epoch === this.epoch && message.keeperEpoch === this.keeperEpochs.get(message.keeper)
  }

  private computeHeldAmount (team: TeamName, holding: Holding): Resources {
    return maxResources(holding.amount, this.context.options.getUsage(this.group, team))
  }

  private getOrCreateHolding (team: TeamName): Holding {
    const known = this.holdings.get(team)
    if (known !== undefined) return known
    const holding: Holding = { amount: NO_RESOURCES, reported: NO_RESOURCES, wanted: NO_RESOURCES, sequence: 0, requestedAt: -Infinity, requestedWanted: NO_RESOURCES, responded: true, contendedUntil: -Infinity }
    this.holdings.set(team, holding)
    return holding
  }

  /** Lowers the amount before reporting it to the keeper, so that the sum of the grants never exceeds the limit. */
  private lowerAmount (team: TeamName, holding: Holding, maxAmount: Resources): void {
    this.setAmount(team, holding, minResources(holding.amount, maxAmount))
    this.sendRequest(team, holding)
  }

  private setAmount (team: TeamName, holding: Holding, amount: Resources): void {
    if (equalResources(amount, holding.amount)) return
    holding.amount = amount
    this.context.outbox.emit({ type: 'grant-changed', group: this.group, team, amount })
  }

  private sendRequest (team: TeamName, holding: Holding): void {
    holding.requestedAt = this.context.now
    holding.requestedWanted = holding.wanted
    holding.responded = false
    this.openTeams.add(team)
    this.sequence += 1
    holding.sequence = this.sequence
    holding.reported = this.computeHeldAmount(team, holding)
    const keeper = this.hooks.getKeeper(team)
    this.hooks.send(keeper, { type: 'grant-asked', keeper, group: this.group, epoch: this.epoch, sequence: this.sequence, team, held: holding.reported, wanted: holding.wanted })
  }
}

/** Whether no request can become due without a further event. */
function isUpToDate (holding: Holding, now: number): boolean {
  return holding.responded && equalResources(holding.reported, holding.amount) && fits(holding.wanted, holding.amount) && now >= holding.contendedUntil
}

function differsSignificantly (left: Resources, right: Resources): boolean {
  return RESOURCE_NAMES.some((name) => Math.abs(left[name] - right[name]) > Math.max(left[name], right[name]) / SIGNIFICANT_CHANGE_DIVISOR)
}
