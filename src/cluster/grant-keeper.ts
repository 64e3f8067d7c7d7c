import type { Epoch, GroupNumber, TeamName } from '../model/ids.ts'
import type { GrantMessage } from '../model/peer.ts'
import { add, fits, NO_RESOURCES, subtract } from '../model/resources.ts'
import type { Resources } from '../model/resources.ts'
import type { Context } from './context.ts'
import { maxResources, minResources, createResources, equalResources, waterFill } from './water-filling.ts'

type GrantReport = Extract<GrantMessage, { readonly type: 'grant-report' }>
type GrantRequest = Extract<GrantMessage, { readonly type: 'grant-asked' }>

/** The amount of one team's limit that a group may hold; never less than what it actually holds. */
type LedgerEntry = { sequence: number, amount: Resources, wanted: Resources, recalledAt: number }

/** Functions that a grant keeper calls. */
export type GrantKeeperHooks = {
  /** Returns the epoch of a group's current owner if it is known. */
  readonly getOwnerEpoch: (group: GroupNumber) => Epoch | undefined
  /** Returns the team's limit; undefined if the team does not exist. */
  readonly getLimit: (team: TeamName) => Resources | undefined
  readonly send: (group: GroupNumber, message: GrantMessage) => void
  /** Requests reports from the owners of the groups. */
  readonly requestReports: (groups: readonly GroupNumber[], message: GrantMessage) => void
}

const REPORT_REQUEST_INTERVAL_MS = 200
const RECALL_INTERVAL_MS = 200
/**
 * Interval of recalls to groups that hold no more than their share. They have nothing to return, but learn that the team
 * is contended and then report changed needs soon.
 */
const CONTENTION_NOTICE_INTERVAL_MS = 5_000

/** Keeps the ledger of grants for the teams whose keeper is one group, under one epoch of that group. */
export class GrantKeeper {
  private readonly reports = new Map<GroupNumber, { readonly epoch: Epoch, readonly sequence: number }>()
  private readonly ledger = new Map<TeamName, Map<GroupNumber, LedgerEntry>>()
  /** Teams with unmet needs, or with more granted than the limit. */
  private readonly contendedTeams = new Set<TeamName>()
  private reportsRequestedAt = -Infinity

  private constructor (private readonly context: Context, private readonly keeper: GroupNumber, private readonly epoch: Epoch, private readonly hooks: GrantKeeperHooks) {}

  static create (context: Context, keeper: GroupNumber, epoch: Epoch, hooks: GrantKeeperHooks): GrantKeeper {
    return new GrantKeeper(context, keeper, epoch, hooks)
  }

  /** Whether every group has reported what it holds; nothing is granted before that. */
  get isReady (): boolean {
    return this.reports.size >= this.context.options.groups
  }

  tick (): void {
    this.requestReports()
    for (const team of [...this.contendedTeams]) this.raiseGrants(team)
  }

  handleReport (report: GrantReport): void {
    const known = this.reports.get(report.group)
    if (report.keeperEpoch !== this.epoch || (known !== undefined && report.epoch <= known.epoch)) return
    const wasReady = this.isReady
    this.reports.set(report.group, { epoch: report.epoch, sequence: report.sequence })
    for (const entries of this.ledger.values()) entries.delete(report.group)
    for (const { team, amount } of report.held) this.getOrCreateEntry(team, report.group, report.sequence).amount = amount
    if (wasReady) for (const { team } of report.held) this.raiseGrants(team)
    else this.handleLimitsChanged()
  }

  handleRequest (request: GrantRequest): void {
    const entry = this.updateEntry(request)
    if (entry === undefined) return
    entry.wanted = request.wanted
    if (!this.isReady) return
    const amountBefore = entry.amount
    this.raiseGrants(request.team, (group) => group === request.group)
    // A response without an increase confirms to the holder that its request arrived.
    if (equalResources(amountBefore, entry.amount)) this.sendGrant(request.team, request.group, entry)
  }

  handleLimitsChanged (): void {
    for (const team of this.ledger.keys()) this.raiseGrants(team, () => true)
  }

  /** Returns the sum of what the groups may hold of a team's limit. */
  computeOutstanding (team: TeamName): Resources {
    return [...this.ledger.get(team)?.values() ?? []].reduce((sum, entry) => add(sum, entry.amount), NO_RESOURCES)
  }

  private requestReports (): void {
    const { now, options } = this.context
    if (now < this.reportsRequestedAt + REPORT_REQUEST_INTERVAL_MS) return
    const missing: GroupNumber[] = []
    for (let group = 0; group < options.groups; group += 1) {
      const currentEpoch = this.hooks.getOwnerEpoch(group)
      const reportedEpoch = this.reports.get(group)?.epoch
      if (currentEpoch !== undefined && (reportedEpoch === undefined || reportedEpoch < currentEpoch)) missing.push(group)
    }
    if (missing.length === 0) return
    this.reportsRequestedAt = now
    this.hooks.requestReports(missing, { type: 'grant-report-asked', keeper: this.keeper, keeperEpoch: this.epoch })
  }

  private getOrCreateEntry (team: TeamName, group: GroupNumber, sequence: number): LedgerEntry {
    const entries = this.ledger.get(team) ?? new Map<GroupNumber, LedgerEntry>()
    this.ledger.set(team, entries)
    const entry = entries.get(group) ?? { sequence, amount: NO_RESOURCES, wanted: NO_RESOURCES, recalledAt: -Infinity }
    entries.set(group, entry)
    return entry
  }

  /**
   * Sets the entry of the requesting group to the amount that it states and returns the entry; undefined if the message
   * is outdated. The holder no longer accepts a grant with a lower sequence, so the stated amount replaces grants that
   * are still in transit.
   */
  private updateEntry (message: GrantRequest): LedgerEntry | undefined {
    const report = this.reports.get(message.group)
    if (report === undefined || report.epoch !== message.epoch) return undefined
    const entry = this.getOrCreateEntry(message.team, message.group, report.sequence)
    if (message.sequence <= entry.sequence) return undefined
    entry.sequence = message.sequence
    entry.amount = message.held
    return entry
  }

  /**
   * Raises the grants of groups with unmet needs. Units that no group needs go only to the groups for which
   * `includesSpare` returns true. Otherwise each request would slightly change the equal share of all groups, and cause a
   * message to each of them.
   */
  private raiseGrants (team: TeamName, includesSpare: (group: GroupNumber) => boolean = () => false): void {
    const entries = this.ledger.get(team)
    if (entries === undefined || !this.isReady) return
    const limit = this.hooks.getLimit(team) ?? NO_RESOURCES
    const goals = this.computeGoals(entries, limit)
    let free = subtract(limit, this.computeOutstanding(team))
    let satisfied = fits(NO_RESOURCES, free)
    for (const [group, entry] of entries) {
      const fullGoal = goals.get(group) ?? NO_RESOURCES
      const goal = includesSpare(group) ? fullGoal : minResources(fullGoal, entry.wanted)
      const available = maxResources(free, NO_RESOURCES)
      const amount = maxResources(entry.amount, minResources(goal, add(entry.amount, available)))
      if (!equalResources(amount, entry.amount)) {
        free = subtract(free, subtract(amount, entry.amount))
        entry.amount = amount
        this.sendGrant(team, group, entry)
      }
      if (!fits(minResources(fullGoal, entry.wanted), entry.amount)) satisfied = false
    }
    if (satisfied) this.contendedTeams.delete(team)
    else this.sendRecalls(team, entries, goals)
  }

  /** Computes the amount that each group should have: its fair share for its needs, and an equal share of what no group needs. */
  private computeGoals (entries: ReadonlyMap<GroupNumber, LedgerEntry>, limit: Resources): ReadonlyMap<GroupNumber, Resources> {
    const groups = [...entries.keys()]
    const goals = groups.map(() => ({ ...NO_RESOURCES }))
    createResources((name) => {
      const shares = waterFill(limit[name], [...entries.values()].map((entry) => entry.wanted[name]))
      const remainder = limit[name] - shares.reduce((sum, share) => sum + share, 0)
      const spareShare = Math.max(0, Math.floor(remainder / this.context.options.groups))
      goals.forEach((goal, index) => { goal[name] = (shares[index] ?? 0) + spareShare })
      return 0
    })
    return new Map(groups.map((group, index) => [group, goals[index] ?? NO_RESOURCES]))
  }

  private sendRecalls (team: TeamName, entries: ReadonlyMap<GroupNumber, LedgerEntry>, goals: ReadonlyMap<GroupNumber, Resources>): void {
    const { now } = this.context
    this.contendedTeams.add(team)
    for (const [group, entry] of entries) {
      const goal = goals.get(group) ?? NO_RESOURCES
      if (equalResources(entry.amount, NO_RESOURCES)) continue
      const interval = fits(entry.amount, goal) ? CONTENTION_NOTICE_INTERVAL_MS : RECALL_INTERVAL_MS
      if (now < entry.recalledAt + interval) continue
      entry.recalledAt = now
      this.hooks.send(group, { type: 'grant-recalled', keeper: this.keeper, keeperEpoch: this.epoch, group, epoch: this.reports.get(group)?.epoch ?? 0, team, wanted: goal })
    }
  }

  private sendGrant (team: TeamName, group: GroupNumber, entry: LedgerEntry): void {
    this.hooks.send(group, { type: 'grant-given', keeper: this.keeper, keeperEpoch: this.epoch, group, epoch: this.reports.get(group)?.epoch ?? 0, sequence: entry.sequence, team, amount: entry.amount })
  }
}
