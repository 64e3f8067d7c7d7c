import { Command, Option, UsageError } from 'clipanion'
import { readFileSync } from 'node:fs'
import { IDEMPOTENCY_KEY_PATTERN } from '../util/idempotency-key.ts'
import { createUuidV7 } from '../util/uuid-v7.ts'
import { BaseCommand, parseIntegerOption } from './base-command.ts'
import { EXIT_CODE } from './exit-code.ts'
import type { Outcome } from './outcome.ts'

const WORK_KINDS = ['request', 'service', 'batch', 'gang'] as const

/** Additional time after the deadline in which the server can still send its refusal. */
const RESPONSE_MARGIN_MS = 10_000
/** Time after which a member responds to a job that was not accepted. */
const ACCEPT_TIMEOUT_MS = 30_000
const MAX_RESOURCE_AMOUNT = 1_000_000_000

/** Submits a request or a job. */
export class SubmitCommand extends BaseCommand {
  static override paths = [['submit']]
  static override usage = Command.Usage({
    category: 'Work',
    description: 'submit a request or a job',
    details: 'For a request, the command waits for the response and prints it; for a job, it prints the id once the job is stored. An idempotency key (UUIDv7) is created unless one is given. After exit code 3 or 5, the same command with the printed `--idempotency-key` returns the outcome without running the work twice.',
    examples: [
      ['Send a request and wait for the response', '$0 submit --queue thread-stock --cpu 500 --memory 256 --payload \'{"article":"silk-40"}\''],
      ['Start a job of ten tasks', '$0 submit --queue night-embroidery --kind batch --count 10 --cpu 1000 --memory 512 --payload @order.json']
    ]
  })

  queue = Option.String('--queue', { required: true, description: 'Queue to submit to.' })
  kind = Option.String('--kind', 'request', { description: 'request (default), service, batch or gang.' })
  count = Option.String('--count', '1', { description: 'Number of tasks of a job (default 1).' })
  family = Option.String('--family', { description: 'Family of work with similar usage (default: the queue).' })
  cpu = Option.String('--cpu', '1000', { description: 'Thousandths of a core for each task (default 1000).' })
  memory = Option.String('--memory', '256', { description: 'Mebibytes for each task (default 256).' })
  accelerators = Option.String('--accelerators', '0', { description: 'Accelerators for each task (default 0).' })
  slots = Option.String('--slots', '1', { description: 'Slots for each task (default 1).' })
  connections = Option.String('--connections', '0', { description: 'Connections for each task (default 0).' })
  payload = Option.String('--payload', 'null', { description: 'JSON that is passed to the task; `@file` reads it from a file.' })
  deadline = Option.String('--deadline', '30000', { description: 'Milliseconds within which a request must complete (default 30000).' })
  expected = Option.String('--expected', '0', { description: 'Expected run time of a task in milliseconds (default 0: unknown).' })
  urgent = Option.Boolean('--urgent', false, { description: 'The work may displace preemptible work.' })
  idempotent = Option.Boolean('--idempotent', false, { description: 'A task may be repeated when it is unknown whether it ran.' })
  idempotencyKey = Option.String('--idempotency-key', { description: 'Submissions with the same key run only once.' })

  protected async perform (): Promise<Outcome> {
    const kind = WORK_KINDS.find((name) => name === this.kind)
    if (kind === undefined) throw new UsageError(`--kind must be one of ${WORK_KINDS.join(', ')}; found ${JSON.stringify(this.kind)}`)
    const idempotencyKey = this.idempotencyKey ?? createUuidV7(Date.now())
    if (!IDEMPOTENCY_KEY_PATTERN.test(idempotencyKey)) throw new UsageError('--idempotency-key must be 1 to 128 printable ASCII characters without spaces')
    const timeoutMs = parseIntegerOption('--deadline', this.deadline, 1, 86_400_000)
    const response = await this.createClient().call({
      method: 'POST',
      path: kind === 'request' ? '/v1/requests' : '/v1/jobs',
      body: { ...this.createCommonBody(), ...(kind === 'request' ? { timeoutMs } : { kind, count: parseIntegerOption('--count', this.count, 1, 100_000) }) },
      headers: { 'idempotency-key': idempotencyKey },
      timeoutMs: (kind === 'request' ? timeoutMs : ACCEPT_TIMEOUT_MS) + RESPONSE_MARGIN_MS
    })
    return response
      .map((json) => ({ json, text: kind === 'request' ? JSON.stringify((json as { output?: unknown }).output, null, 2) ?? 'null' : String((json as { work?: string }).work) }))
      .mapErr((failure) => ({ ...failure, details: { ...failure.details, idempotencyKey }, message: isRepeatable(failure.exitCode) ? `${failure.message}\nrepeat with --idempotency-key ${idempotencyKey}` : failure.message }))
  }

  private createCommonBody () {
    return {
      queue: this.queue,
      family: this.family ?? this.queue,
      resources: {
        cpuMillis: parseIntegerOption('--cpu', this.cpu, 0, MAX_RESOURCE_AMOUNT),
        memoryMiB: parseIntegerOption('--memory', this.memory, 0, MAX_RESOURCE_AMOUNT),
        accelerators: parseIntegerOption('--accelerators', this.accelerators, 0, MAX_RESOURCE_AMOUNT),
        slots: parseIntegerOption('--slots', this.slots, 0, MAX_RESOURCE_AMOUNT),
        connections: parseIntegerOption('--connections', this.connections, 0, MAX_RESOURCE_AMOUNT)
      },
      expectedMs: parseIntegerOption('--expected', this.expected, 0, 31_536_000_000),
      urgent: this.urgent,
      idempotent: this.idempotent,
      payload: parsePayload(this.payload)
    }
  }
}

function isRepeatable (exitCode: number): boolean {
  return exitCode === EXIT_CODE.unreachable || exitCode === EXIT_CODE.unknown
}

function parsePayload (text: string): unknown {
  try {
    return JSON.parse(text.startsWith('@') ? readFileSync(text.slice(1), 'utf8') : text)
  } catch (error) {
    throw new UsageError(`--payload must be JSON or @file with JSON: ${(error as Error).message}`)
  }
}
