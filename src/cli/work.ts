import { Command, Option, UsageError } from 'clipanion'
import { parseGroupNumber, parseTaskIndex, formatTaskId, parseWorkId } from '../model/ids.ts'
import type { Explanation, JobStatus } from '../model/group-request.ts'
import { BaseCommand } from './base-command.ts'
import { EXIT } from './exit-code.ts'
import { failed, printed, type Outcome } from './outcome.ts'
import { formatTable, printable, timeText } from './table.ts'

/** Shows the state of a request or job. */
export class StatusCommand extends BaseCommand {
  static override paths = [['status']]
  static override usage = Command.Usage({
    category: 'Work',
    description: 'show the state of a request or job',
    details: '`unknown` counts tasks of which it is not known whether they ran.',
    examples: [['Show one job', '$0 status g3-01h8']]
  })

  work = Option.String({ name: 'WORK' })

  protected async perform (): Promise<Outcome> {
    const answer = await this.client().call({ method: 'GET', path: workPath(this.work) })
    return answer.map((json) => {
      const { work, team, kind, state, waiting, running, succeeded, failed, unknown } = json as JobStatus
      const heads = ['work', 'team', 'kind', 'state', 'waiting', 'running', 'succeeded', 'failed', 'unknown']
      return { json, text: formatTable(heads, [[work, team, kind, state, waiting, running, succeeded, failed, unknown]]) }
    })
  }
}

/** Cancels one request or job, or all of a queue or team. */
export class CancelCommand extends BaseCommand {
  static override paths = [['cancel']]
  static override usage = Command.Usage({
    category: 'Work',
    description: 'cancel work by id, or all work of a queue or team',
    details: 'Waiting tasks are dropped and running ones stopped. Cancelling again does no harm. With both selectors, only work that matches both is cancelled.',
    examples: [['Cancel one job', '$0 cancel g3-01h8'], ['Cancel all work of a team in one queue', '$0 cancel --team stock --queue orders']]
  })

  queue = Option.String('--queue', { description: 'Cancel all work of this queue.' })
  team = Option.String('--team', { description: 'Cancel all work of this team.' })
  work = Option.String({ name: 'WORK', required: false })

  protected async perform (): Promise<Outcome> {
    const selected = this.queue !== undefined || this.team !== undefined
    if ((this.work !== undefined) === selected) throw new UsageError('give either a work id, or --queue or --team or both')
    if (this.work !== undefined) {
      const answer = await this.client().call({ method: 'DELETE', path: workPath(this.work) })
      return answer.map((json) => ({ json, text: `${this.work}: ${printable(String((json as { outcome?: string }).outcome ?? 'cancelled'))}` }))
    }
    const query = new URLSearchParams({ ...(this.queue === undefined ? {} : { queue: this.queue }), ...(this.team === undefined ? {} : { team: this.team }) })
    const answer = await this.client().call({ method: 'DELETE', path: `/v1/work?${query.toString()}` })
    return answer.andThen((json) => {
      const { cancelled = 0, missing = [] } = json as { cancelled?: number, missing?: readonly number[] }
      if (missing.length === 0) return printed(json, `${cancelled} cancelled`)
      return failed(EXIT.unknown, 'incomplete', `${cancelled} cancelled; ${missing.length === 1 ? 'group' : 'groups'} ${missing.join(', ')} did not answer, so cancel again`, { cancelled, missing })
    })
  }
}

/** Explains the state of a task. */
export class ExplainCommand extends BaseCommand {
  static override paths = [['explain']]
  static override usage = Command.Usage({
    category: 'Work',
    description: 'explain why a task waits, runs where it runs, or was refused',
    details: 'TASK is `WORK/INDEX`; a work id alone means its first task.',
    examples: [['Explain the first task of a job', '$0 explain g3-01h8/0']]
  })

  task = Option.String({ name: 'TASK' })

  protected async perform (): Promise<Outcome> {
    const task = this.task.includes('/') ? this.task : formatTaskId(this.task, 0)
    if (!/\/\d{1,6}$/.test(task) || parseGroupNumber(parseWorkId(task)) === undefined) throw new UsageError(`TASK must look like g3-01h8/0; found ${JSON.stringify(this.task)}`)
    const answer = await this.client().call({ method: 'GET', path: `/v1/tasks/${parseWorkId(task)}/${parseTaskIndex(task)}/explain` })
    return answer.map((json) => ({ json, text: explanationText(json as Explanation) }))
  }
}

function workPath (work: string): string {
  if (parseGroupNumber(work) === undefined) throw new UsageError(`WORK must look like g3-01h8; found ${JSON.stringify(work)}`)
  return `/v1/work/${work}`
}

function explanationText ({ task, state, reason, detail, target, decisions = [] }: Explanation): string {
  const place = target === undefined ? '' : ` on ${target}`
  const rows = decisions.map((entry) => [timeText(entry.at), entry.decision, entry.detail])
  const history = rows.length === 0 ? '' : `\n\n${formatTable(['at', 'decision', 'detail'], rows)}`
  return `${printable(`${task} is ${state}${place}: ${reason}`)}\n${printable(detail)}${history}`
}
