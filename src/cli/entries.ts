import { Command, Option } from 'clipanion'
import type { Result } from 'neverthrow'
import type { Configuration } from '../model/configuration.ts'
import { findNearestName } from '../util/nearest-name.ts'
import { BaseCommand } from './base-command.ts'
import { readConfiguration, readOverview } from './configuration-client.ts'
import { EXIT_CODE } from './exit-code.ts'
import { createFailure, type Failure, type Outcome } from './outcome.ts'
import { formatResources, getHostRows, formatMissingGroups, computeTeamTotals, type OverviewJson } from './overview.ts'
import { formatTable, type Cell } from './table.ts'

/** The configuration and the overview that the owners report; the overview is empty for listings that do not need it. */
type View = { readonly configuration: Configuration, readonly overview: OverviewJson }

/** Defines how entries of one kind are listed: the columns, and a row for each entry with its name first. */
type Listing = {
  readonly kind: string
  readonly columns: readonly string[]
  readonly needsOverview: boolean
  readonly rows: (view: View) => readonly (readonly Cell[])[]
}

const NO_OVERVIEW: OverviewJson = { revision: 0, groups: [], missing: [] }

const QUEUES: Listing = {
  kind: 'queue',
  columns: ['queue', 'team', 'access'],
  needsOverview: false,
  rows: ({ configuration }) => [...configuration.queues.values()].map(({ name, access }) => [name, access.team, access.type === 'open' ? 'open to all' : 'key of the team'])
}

const TEAMS: Listing = {
  kind: 'team',
  columns: ['team', 'organisation', 'weight', 'limit', 'used', 'share', 'entitled', 'waiting'],
  needsOverview: true,
  rows: ({ configuration, overview }) => {
    const totals = computeTeamTotals(overview)
    return [...configuration.teams.values()].map(({ name, organisation, weight, limit }) => {
      const total = totals.get(name)
      const used = total === undefined ? '-' : formatResources(total.used)
      return [name, organisation, weight, formatResources(limit), used, formatPercent(total?.share), formatPercent(total?.entitled), total?.waiting ?? 0]
    })
  }
}

const KEYS: Listing = {
  kind: 'key',
  columns: ['key', 'team'],
  needsOverview: false,
  rows: ({ configuration }) => [...configuration.keys.values()].map(({ id, team }) => [id, team])
}

const DOMAINS: Listing = {
  kind: 'domain',
  columns: ['domain', 'state', 'hosts', 'hosts with work'],
  needsOverview: true,
  rows: ({ configuration, overview }) => {
    const hosts = getHostRows(overview)
    const names = [...new Set([...configuration.failureDomains.keys(), ...hosts.map(({ failureDomain }) => failureDomain)])].sort()
    return names.map((name) => {
      const hostsInDomain = hosts.filter(({ failureDomain }) => failureDomain === name)
      return [name, configuration.failureDomains.get(name)?.state ?? 'in', hostsInDomain.length, hostsInDomain.filter(({ used }) => used.slots > 0).length]
    })
  }
}

const HOSTS: Listing = {
  kind: 'host',
  columns: ['host', 'target', 'domain', 'state', 'drained', 'group', 'used', 'capacity'],
  needsOverview: true,
  rows: ({ configuration, overview }) => getHostRows(overview).map(({ host, id, failureDomain, state, group, used, capacity }) => (
    [host, id, failureDomain, state, configuration.drains.has(host) ? 'yes' : 'no', group, formatResources(used), formatResources(capacity)]
  ))
}

abstract class ListCommand extends BaseCommand {
  protected abstract readonly listing: Listing

  protected async perform (): Promise<Outcome> {
    return (await this.readView()).map((view) => {
      const rows = this.listing.rows(view)
      const json = { entries: rows.map((row) => this.toFields(row)), missing: view.overview.missing }
      return { json, text: `${formatTable(this.listing.columns, rows)}${formatMissingGroups(view.overview)}` }
    })
  }

  protected toFields (row: readonly Cell[]): Readonly<Record<string, Cell>> {
    return Object.fromEntries(this.listing.columns.map((columnName, column) => [columnName, row[column]!]))
  }

  protected async readView (): Promise<Result<View, Failure>> {
    const configuration = await readConfiguration(this.createClient())
    if (configuration.isErr() || !this.listing.needsOverview) return configuration.map((value) => ({ configuration: value, overview: NO_OVERVIEW }))
    const overview = await readOverview(this.createClient())
    return overview.map((value) => ({ configuration: configuration.value, overview: value }))
  }
}

abstract class ShowCommand extends ListCommand {
  name = Option.String({ name: 'NAME' })

  protected override async perform (): Promise<Outcome> {
    const view = await this.readView()
    if (view.isErr()) return view.map(() => ({ json: {}, text: '' }))
    const rows = this.listing.rows(view.value)
    const row = rows.find(([name]) => name === this.name)
    if (row === undefined) return createNotFoundFailure(this.listing.kind, this.name, rows.map(([name]) => String(name)))
    const fields = this.toFields(row)
    return view.map(() => ({ json: fields, text: `${formatTable(['field', 'value'], Object.entries(fields).map(([columnName, cell]) => [columnName, String(cell)]))}${formatMissingGroups(view.value.overview)}` }))
  }
}

/**
 * Creates the failure for a name that does not exist, with the most similar existing name.
 *
 * @example
 * createNotFoundFailure('team', 'stok', ['stock'])
 */
export function createNotFoundFailure (kind: string, name: string, valid: readonly string[]) {
  const nearest = findNearestName(name, valid)
  return createFailure(EXIT_CODE.refused, 'not-found', `there is no ${kind} ${JSON.stringify(name)}${nearest === undefined ? '' : `; did you mean "${nearest}"?`}`, { nearest })
}

function formatPercent (ratio: number | undefined): string {
  return ratio === undefined ? '-' : `${(ratio * 100).toFixed(1)}%`
}

function createUsage (listing: Listing, action: 'list' | 'show') {
  const description = action === 'list' ? `list all ${listing.kind}s` : `show one ${listing.kind}`
  return Command.Usage({ category: 'Operation', description, details: `Fields: ${listing.columns.join(', ')}. Exit code 1 if there is no such ${listing.kind}.` })
}

function createListCommand (listing: Listing) {
  return class extends ListCommand {
    static override paths = [[listing.kind, 'list']]
    static override usage = createUsage(listing, 'list')
    protected readonly listing = listing
  }
}

function createShowCommand (listing: Listing) {
  return class extends ShowCommand {
    static override paths = [[listing.kind, 'show']]
    static override usage = createUsage(listing, 'show')
    protected readonly listing = listing
  }
}

/** The `list` and `show` commands for queues, teams, keys, failure domains and hosts. */
export const ENTRY_COMMANDS = [QUEUES, TEAMS, KEYS, DOMAINS, HOSTS].flatMap((listing) => [createListCommand(listing), createShowCommand(listing)])
