import { Command, Option } from 'clipanion'
import { err, ok, type Result } from 'neverthrow'
import type { Change, Configuration } from '../model/configuration.ts'
import { createTeamKey } from '../util/team-key.ts'
import { AuthoredCommand } from './base-command.ts'
import { publishEntry, readOverview } from './configuration-client.ts'
import { createNotFoundFailure } from './entries.ts'
import type { Failure, Outcome } from './outcome.ts'
import { getHostRows, type HostRow } from './overview.ts'

/** Base class of the commands that publish a change of one entry. */
abstract class ActionCommand extends AuthoredCommand {
  /** Publishes the change that `decide` returns; `description` is the printed text about it. */
  protected async publishChange (description: string, decide: (configuration: Configuration) => Result<Change | undefined, Failure>): Promise<Outcome> {
    const published = await publishEntry(this.createClient(), this.getValidAuthor(), decide)
    return published.map((response) => response === undefined
      ? { json: { changed: false }, text: `already so: ${description}` }
      : { json: { changed: true, revision: response.revision }, text: `${description} (revision ${response.revision} is in force)` })
  }

  /** Reads the hosts that the owners report. */
  protected async readHosts (): Promise<Result<readonly HostRow[], Failure>> {
    return (await readOverview(this.createClient())).map(getHostRows)
  }
}

/** Creates a team key. */
export class KeyGiveCommand extends ActionCommand {
  static override paths = [['key', 'give']]
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'create a key for a team',
    details: 'Prints the key once; only its salted hash is stored, so it cannot be shown again. If the outcome is unknown (exit code 5), check `key list` and withdraw a key that nobody has.'
  })

  team = Option.String({ name: 'TEAM' })

  protected async perform (): Promise<Outcome> {
    const { text, key } = createTeamKey(this.team)
    const outcome = await this.publishChange(`key ${key.id} works for team ${this.team}`, (configuration) => configuration.teams.has(this.team)
      ? ok({ kind: 'key', name: key.id, value: key })
      : createNotFoundFailure('team', this.team, [...configuration.teams.keys()]))
    return outcome.map((output) => ({ json: { ...output.json as object, id: key.id, key: text }, text: `${text}\n${output.text}` }))
  }
}

/** Withdraws a team key. */
export class KeyWithdrawCommand extends ActionCommand {
  static override paths = [['key', 'withdraw']]
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'withdraw a key',
    details: 'The key stops working on every entry host within 6 s of the response. The argument is the id of the key (the middle part), never the whole key. Work that was accepted before continues; `cancel --team` ends it.'
  })

  id = Option.String({ name: 'KEY-ID' })

  protected async perform (): Promise<Outcome> {
    return await this.publishChange(`key ${this.id} is withdrawn`, ({ keys }) => keys.has(this.id)
      ? ok({ kind: 'key', name: this.id, value: null })
      : createNotFoundFailure('key', this.id, [...keys.keys()]))
  }
}

abstract class DomainCommand extends ActionCommand {
  protected abstract readonly state: 'in' | 'out'

  name = Option.String({ name: 'DOMAIN' })

  protected async perform (): Promise<Outcome> {
    const change: Change = { kind: 'failureDomain', name: this.name, value: { name: this.name, state: this.state } }
    const hosts = await this.readHosts()
    // An emergency command must not depend on the overview, which only adds names that the configuration does not have.
    const reportedNames = hosts.unwrapOr([]).map(({ failureDomain }) => failureDomain)
    return await this.publishChange(`failure domain ${this.name} is ${this.state}`, ({ failureDomains }) => {
      if (failureDomains.get(this.name)?.state === this.state) return ok(undefined)
      if (!failureDomains.has(this.name) && !reportedNames.includes(this.name)) return createNotFoundFailure('failure domain', this.name, [...failureDomains.keys(), ...reportedNames])
      return ok(change)
    })
  }
}

/** Takes a failure domain out. */
export class DomainOutCommand extends DomainCommand {
  static override paths = [['domain', 'out']]
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'take a failure domain out',
    details: 'No task starts there more than 3 s after the command; running tasks are replaced elsewhere according to the profile. The command is retried after conflicts with changes of other entries.'
  })

  protected readonly state = 'out'
}

/** Brings a failure domain back. */
export class DomainInCommand extends DomainCommand {
  static override paths = [['domain', 'in']]
  static override usage = Command.Usage({ category: 'Operation', description: 'bring a failure domain back', details: 'Its hosts can get new work immediately.' })

  protected readonly state = 'in'
}

/** Drains a host, which then gets no new work. */
export class HostDrainCommand extends ActionCommand {
  static override paths = [['host', 'drain']]
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'give a host no new work',
    details: 'Its services are first replaced elsewhere; the host keeps its running tasks until they end or are moved.'
  })

  host = Option.String({ name: 'HOST' })

  protected async perform (): Promise<Outcome> {
    const hosts = await this.readHosts()
    if (hosts.isErr()) return err(hosts.error)
    const names = hosts.value.map(({ host }) => host)
    return await this.publishChange(`host ${this.host} is drained`, ({ drains }) => {
      if (drains.has(this.host)) return ok(undefined)
      return names.includes(this.host) ? ok({ kind: 'drain', name: this.host, value: { host: this.host } }) : createNotFoundFailure('host', this.host, names)
    })
  }
}

/** Ends the drain of a host. */
export class HostUndrainCommand extends ActionCommand {
  static override paths = [['host', 'undrain']]
  static override usage = Command.Usage({ category: 'Operation', description: 'end the drain of a host', details: 'The host can get new work again.' })

  host = Option.String({ name: 'HOST' })

  protected async perform (): Promise<Outcome> {
    return await this.publishChange(`host ${this.host} is not drained`, ({ drains }) => ok(drains.has(this.host) ? { kind: 'drain', name: this.host, value: null } : undefined))
  }
}
