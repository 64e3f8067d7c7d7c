import { Command, Option } from 'clipanion'
import { setTimeout as sleep } from 'node:timers/promises'
import { BaseCommand, parseIntegerOption } from './base-command.ts'
import { readOverview } from './configuration-client.ts'
import { createSuccess, type Outcome } from './outcome.ts'
import { formatResources, getHostRows, formatMissingGroups, computeTeamTotals, type OverviewJson } from './overview.ts'
import { formatTable } from './table.ts'

const CLEAR_SCREEN = '\u001b[H\u001b[J'

/** Shows groups and teams and refreshes the view until it is interrupted. */
export class TopCommand extends BaseCommand {
  static override paths = [['top']]
  static override usage = Command.Usage({
    category: 'Operation',
    description: 'show groups and teams, refreshed until interrupted',
    details: 'With `--json`, or with `--once`, prints one view and ends.',
    examples: [['Print one view', '$0 top --once']]
  })

  once = Option.Boolean('--once', false, { description: 'Print one view and end.' })
  interval = Option.String('--interval', '2000', { description: 'Milliseconds between views (default 2000).' })

  protected async perform (): Promise<Outcome> {
    const intervalMs = parseIntegerOption('--interval', this.interval, 200, 3_600_000)
    for (;;) {
      const overview = await readOverview(this.createClient())
      if (overview.isErr() || this.once || this.json) return overview.map((json) => ({ json, text: formatView(json) }))
      this.print(`${CLEAR_SCREEN}${formatView(overview.value)}`)
      await sleep(intervalMs, undefined, { signal: this.context.interruptSignal }).catch(() => {})
      if (this.context.interruptSignal.aborted) return createSuccess({}, '')
    }
  }
}

function formatView (overview: OverviewJson): string {
  const groups = overview.groups.map(({ group, owner = '-', epoch = '-', targets, waiting }) => (
    [group, owner, epoch, targets.length, waiting.urgent, waiting.request, waiting.service, waiting.batch, waiting.gang]
  ))
  const teams = [...computeTeamTotals(overview).values()].map(({ team, used, share, entitled, waiting }) => (
    [team, formatResources(used), `${(share * 100).toFixed(1)}%`, `${(entitled * 100).toFixed(1)}%`, waiting]
  ))
  return [
    `revision ${overview.revision}, ${getHostRows(overview).length} hosts${formatMissingGroups(overview)}`,
    formatTable(['group', 'owner', 'epoch', 'hosts', 'urgent', 'requests', 'services', 'batch', 'gangs'], groups),
    formatTable(['team', 'used', 'share', 'entitled', 'waiting'], teams)
  ].join('\n\n')
}
