import { Command, Option } from 'clipanion'
import type { Result } from 'neverthrow'
import type { Configuration } from '../model/configuration.ts'
import { findNearestName } from '../util/nearest-name.ts'
import { BaseCommand } from './base-command.ts'
import { readConfiguration, readOverview } from './configuration-client.ts'
import { EXIT } from './exit-code.ts'
import { failed, type Failure, type Outcome } from './outcome.ts'
import { formatResources, hostRows, missingNote, teamTotals, type OverviewJson } from './overview.ts'
import { formatTable, type Cell } from './table.ts'

/** The configuration together with what the owners report; the report is absent when it could not be read. */
type View = { readonly configuration: Configuration, readonly overview: OverviewJson }

/** How entries of one kind are listed: all rows with the name first, and the fields of one entry. */
type Listing = {
  readonly kind: string
  readonly heads: readonly string[]
  readonly needsOverview: boolean
  readonly rows: (view: View) => readonly (readonly Cell[])[]
}

const NO_OVERVIEW: OverviewJson = { revision: 0, groups: [], missing: [] }

const QUEUES: Listing = {
  kind: 'queue',
  heads: ['queue', 'team', 'access'],
  needsOverview: false,
  rows: ({ configuration }) => [...configuration.queues.values()].map(({ name, access }) => [name, access.team, access.type === 'open' ? 'open to all' : 'key of the team'])
}

const TEAMS: Listing = {
  kind: 'team',
  heads: ['team', 'organisation', 'weight', 'limit', 'used', 'share', 'entitled', 'waiting'],
  needsOverview: true,
  rows: ({ configuration, overview }) => {
    const totals = teamTotals(overview)
    return [...configuration.teams.values()].map(({ name, organisation, weight, limit }) => {
      const total = totals.get(name)
      const used = total === undefined ? '-' : formatResources(total.used)
      return [name, organisation, weight, formatResources(limit), used, percent(total?.share), percent(total?.entitled), total?.waiting ?? 0]
    })
  }
}

const KEYS: Listing = {
  kind: 'key',
  heads: ['key', 'team'],
  needsOverview: false,
  rows: ({ configuration }) => [...configuration.keys.values()].map(({ id, team }) => [id, team])
}

const DOMAINS: Listing = {
  kind: 'domain',
  heads: ['domain', 'state', 'hosts', 'hosts with work'],
  needsOverview: true,
  rows: ({ configuration, overview }) => {
    const hosts = hostRows(overview)
    const names = [...new Set([...configuration.failureDomains.keys(), ...hosts.map(({ failureDomain }) => failureDomain)])].sort()
    return names.map((name) => {
      const inside = hosts.filter(({ failureDomain }) => failureDomain === name)
      return [name, configuration.failureDomains.get(name)?.state ?? 'in', inside.length, inside.filter(({ used }) => used.slots > 0).length]
    })
  }
}

const HOSTS: Listing = {
  kind: 'host',
  heads: ['host', 'target', 'domain', 'state', 'drained', 'group', 'used', 'capacity'],
  needsOverview: true,
  rows: ({ configuration, overview }) => hostRows(overview).map(({ host, id, failureDomain, state, group, used, capacity }) => (
    [host, id, failureDomain, state, configuration.drains.has(host) ? 'yes' : 'no', group, formatResources(used), formatResources(capacity)]
  ))
}

abstract class ListCommand extends BaseCommand {
  protected abstract readonly listing: Listing

  protected async perform (): Promise<Outcome> {
    return (await this.view()).map((view) => {
      const rows = this.listing.rows(view)
      const json = { entries: rows.map((row) => this.fields(row)), missing: view.overview.missing }
      return { json, text: `${formatTable(this.listing.heads, rows)}${missingNote(view.overview)}` }
    })
  }

  protected fields (row: readonly Cell[]): Readonly<Record<string, Cell>> {
    return Object.fromEntries(this.listing.heads.map((head, column) => [head, row[column]!]))
  }

  protected async view (): Promise<Result<View, Failure>> {
    const configuration = await readConfiguration(this.client())
    if (configuration.isErr() || !this.listing.needsOverview) return configuration.map((value) => ({ configuration: value, overview: NO_OVERVIEW }))
    const overview = await readOverview(this.client())
    return overview.map((value) => ({ configuration: configuration.value, overview: value }))
  }
}

abstract class ShowCommand extends ListCommand {
  name = Option.String({ name: 'NAME' })

  protected override async perform (): Promise<Outcome> {
    const view = await this.view()
    if (view.isErr()) return view.map(() => ({ json: {}, text: '' }))
    const rows = this.listing.rows(view.value)
    const row = rows.find(([name]) => name === this.name)
    if (row === undefined) return notFound(this.listing.kind, this.name, rows.map(([name]) => String(name)))
    const fields = this.fields(row)
    return view.map(() => ({ json: fields, text: `${formatTable(['field', 'value'], Object.entries(fields).map(([head, cell]) => [head, String(cell)]))}${missingNote(view.value.overview)}` }))
  }
}

/**
 * The failure for a name that does not exist, with the nearest one that does.
 *
 * @example
 * notFound('team', 'stok', ['stock'])
 */
export function notFound (kind: string, name: string, valid: readonly string[]) {
  const nearest = findNearestName(name, valid)
  return failed(EXIT.refused, 'not-found', `there is no ${kind} ${JSON.stringify(name)}${nearest === undefined ? '' : `; did you mean "${nearest}"?`}`, { nearest })
}

function percent (part: number | undefined): string {
  return part === undefined ? '-' : `${(part * 100).toFixed(1)}%`
}

function usageOf (listing: Listing, action: 'list' | 'show') {
  const what = action === 'list' ? `list all ${listing.kind}s` : `show one ${listing.kind}`
  return Command.Usage({ category: 'Operation', description: what, details: `Fields: ${listing.heads.join(', ')}. Exit code 1 if there is no such ${listing.kind}.` })
}

function listCommand (listing: Listing) {
  return class extends ListCommand {
    static override paths = [[listing.kind, 'list']]
    static override usage = usageOf(listing, 'list')
    protected readonly listing = listing
  }
}

function showCommand (listing: Listing) {
  return class extends ShowCommand {
    static override paths = [[listing.kind, 'show']]
    static override usage = usageOf(listing, 'show')
    protected readonly listing = listing
  }
}

/** `list` and `show` for queues, teams, keys, failure domains and hosts. */
export const ENTRY_COMMANDS = [QUEUES, TEAMS, KEYS, DOMAINS, HOSTS].flatMap((listing) => [listCommand(listing), showCommand(listing)])
