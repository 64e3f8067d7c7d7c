import { Command, Option, UsageError } from 'clipanion'
import { parseGroupNumber, parseTaskIndex, formatTaskId, parseWorkId } from '../model/ids.ts'
import type { Explanation, JobStatus } from '../model/group-request.ts'
import { BaseCommand } from './base-command.ts'
import { EXIT_CODE } from './exit-code.ts'
import { createFailure, createSuccess, type Outcome } from './outcome.ts'
import { formatTable, replaceControlCharacters, formatTime } from './table.ts'

/** Shows the state of a request or job. */
export class StatusCommand extends BaseCommand {
  static override paths = [['status']]
  static override usage = Command.Usage({
    category: 'Work',
    description: 'show the state of a request or job',
    details: '`unknown` is the number of tasks for which it is unknown whether they ran.',
    examples: [['Show one job', '$0 status g3-01h8']]
  })

  work = Option.String({ name: 'WORK' })

  protected async perform (): Promise<Outcome> {
    const response = await this.createClient().call({ method: 'GET', path: formatWorkPath(this.work) })
    return response.map((json) => {
      const { work, team, kind, state, waiting, running, succeeded, failed, unknown } = json as JobStatus
      const headers = ['work', 'team', 'kind', 'state', 'waiting', 'running', 'succeeded', 'failed', 'unknown']
      return { json, text: formatTable(headers, [[work, team, kind, state, waiting, running, succeeded, failed, unknown]]) }
    })
  }
}

/** Cancels one request or job, or all work of a queue or team. */
export class CancelCommand extends BaseCommand {
  static override paths = [['cancel']]
  static override usage = Command.Usage({
    category: 'Work',
    description: 'cancel work by id, or all work of a queue or team',
    details: 'Waiting tasks are removed and running ones stopped. Cancelling can safely be repeated. With both selectors, only work that matches both is cancelled.',
    examples: [['Cancel one job', '$0 cancel g3-01h8'], ['Cancel all work of a team in one queue', '$0 cancel --team stock --queue orders']]
  })

  queue = Option.String('--queue', { description: 'Cancel all work of this queue.' })
  team = Option.String('--team', { description: 'Cancel all work of this team.' })
  work = Option.String({ name: 'WORK', required: false })

  protected async perform (): Promise<Outcome> {
    const selected = this.queue !== undefined || this.team !== undefined
    if ((this.work !== undefined) === selected) throw new UsageError('give either a work id, or --queue or --team or both')
    if (this.work !== undefined) {
      const response = await this.createClient().call({ method: 'DELETE', path: formatWorkPath(this.work) })
      return response.map((json) => ({ json, text: `${this.work}: ${replaceControlCharacters(String((json as { outcome?: string }).outcome ?? 'cancelled'))}` }))
    }
    const query = new URLSearchParams({ ...(this.queue === undefined ? {} : { queue: this.queue }), ...(this.team === undefined ? {} : { team: this.team }) })
    const response = await this.createClient().call({ method: 'DELETE', path: `/v1/work?${query.toString()}` })
    return response.andThen((json) => {
      const { cancelled = 0, missing = [] } = json as { cancelled?: number, missing?: readonly number[] }
      if (missing.length === 0) return createSuccess(json, `${cancelled} cancelled`)
      return createFailure(EXIT_CODE.unknown, 'incomplete', `${cancelled} cancelled; ${missing.length === 1 ? 'group' : 'groups'} ${missing.join(', ')} did not answer; repeat the command`, { cancelled, missing })
    })
  }
}

/** Explains the state of a task. */
export class ExplainCommand extends BaseCommand {
  static override paths = [['explain']]
  static override usage = Command.Usage({
    category: 'Work',
    description: 'explain why a task waits, runs on its target, or was refused',
    details: 'TASK is `WORK/INDEX`; a work id alone means its first task.',
    examples: [['Explain the first task of a job', '$0 explain g3-01h8/0']]
  })

  task = Option.String({ name: 'TASK' })

  protected async perform (): Promise<Outcome> {
    const task = this.task.includes('/') ? this.task : formatTaskId(this.task, 0)
    if (!/\/\d{1,6}$/.test(task) || parseGroupNumber(parseWorkId(task)) === undefined) throw new UsageError(`TASK must look like g3-01h8/0; found ${JSON.stringify(this.task)}`)
    const response = await this.createClient().call({ method: 'GET', path: `/v1/tasks/${parseWorkId(task)}/${parseTaskIndex(task)}/explain` })
    return response.map((json) => ({ json, text: formatExplanation(json as Explanation) }))
  }
}

function formatWorkPath (work: string): string {
  if (parseGroupNumber(work) === undefined) throw new UsageError(`WORK must look like g3-01h8; found ${JSON.stringify(work)}`)
  return `/v1/work/${work}`
}

function formatExplanation ({ task, state, reason, detail, target, decisions = [] }: Explanation): string {
  const targetText = target === undefined ? '' : ` on ${target}`
  const rows = decisions.map((entry) => [formatTime(entry.at), entry.decision, entry.detail])
  const history = rows.length === 0 ? '' : `\n\n${formatTable(['at', 'decision', 'detail'], rows)}`
  return `${replaceControlCharacters(`${task} is ${state}${targetText}: ${reason}`)}\n${replaceControlCharacters(detail)}${history}`
}
