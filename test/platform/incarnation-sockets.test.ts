import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { WorkerCommands } from '../../platform/worker-commands.ts'
import { IncarnationCheck } from '../../src/controller/commands/incarnation-check.ts'
import type { CommandResponse, CommandTarget } from '../../src/ports/command-client.ts'
import { formatAnswer, RestartingTarget } from './restarting-target.ts'

const START = { task: 'a.0.0.0', run: 1, payload: 'p', leaseUntilMs: 400_000, epoch: 3, checkpoint: '', ticket: undefined }
const LEASE = { epoch: 3, acknowledged: 0, leaseUntilMs: 400_000, waitMs: 0 }
/** A list request that waits for a completion occupies one of the connections. */
const WAITING_LIST = { ...LEASE, waitMs: 1_000 }
const SETTLE_MS = 30
const BURST = 12
/** How long a command may take, and how much later a busy machine may notice it. */
const COMMAND_TIMEOUT_MS = 600
const BUSY_MS = 300
const MAX_QUESTIONS = 5
const LISTED_PATH = '/hold'
const START_PATH = '/run-start'

type Setup = { readonly target: RestartingTarget, readonly commands: WorkerCommands, readonly check: IncarnationCheck, readonly meant: CommandTarget }

/** Plays with a target and the commands of one member to it. */
async function play (body: (setup: Setup) => Promise<void>): Promise<void> {
  const target = await RestartingTarget.start()
  const commands = WorkerCommands.create()
  const check = IncarnationCheck.create({ commands, reporter: { log: () => {}, count: () => {}, observe: () => {} } })
  try {
    await body({ target, commands, check, meant: { id: 't1', address: target.address, incarnation: 1 } })
  } finally {
    commands.close()
    await target.close()
  }
}

function startBurst ({ check, meant }: Setup, count = BURST): Promise<readonly CommandResponse[]> {
  return Promise.all(Array.from({ length: count }, (_, run) => check.start(meant, { ...START, run })))
}

function countPath (paths: readonly string[], path: string): number {
  return paths.filter((received) => received === path).length
}

const bursts = [
  { name: 'that it has not met', prepare: async () => {} },
  { name: 'with one open connection', prepare: async ({ check, meant }: Setup) => { await check.list(meant, LEASE) } },
  {
    name: 'with one open connection that a list request occupies',
    prepare: async ({ check, target, meant }: Setup) => {
      await check.list(meant, LEASE)
      target.answer = (request) => request.body.waitMs === undefined ? formatAnswer(request) : undefined
      check.list(meant, WAITING_LIST).catch(() => {})
      await wait(SETTLE_MS)
    }
  }
]

for (const { name, prepare } of bursts) {
  // Each of the starts that open connections at once needs an answer after the last of these.
  test(`incarnation sockets: guards against the failure that starts of a burst are withheld: target ${name}`, async () => {
    await play(async (setup) => {
      await prepare(setup)
      const askedBefore = countPath(setup.target.pathsOf(1), LISTED_PATH)
      const responses = await startBurst(setup)
      assert.deepEqual(responses.map(({ type }) => type), Array(BURST).fill('accepted'))
      const asked = countPath(setup.target.pathsOf(1), LISTED_PATH) - askedBefore
      assert.ok(asked <= MAX_QUESTIONS, `${asked} questions`)
    })
  })
}

const restartsInBurst = [{ downMs: 0 }, { downMs: 20 }, { downMs: 100 }]

for (const { downMs } of restartsInBurst) {
  // TWICE: of starts that opened three connections at once, the third one was sent, as to a target that keeps none open.
  test(`incarnation sockets: guards against the failure that a burst of starts reaches the next incarnation after ${downMs} ms`, async () => {
    await play(async (setup) => {
      const { target, check, meant } = setup
      await check.list(meant, LEASE)
      await target.crash('reset')
      await wait(downMs)
      await target.restart()
      const responses = await startBurst(setup)
      assert.deepEqual([...new Set(responses.map(({ type }) => type))], ['unanswered'])
      assert.equal(countPath(target.pathsOf(2), START_PATH), 0)
    })
  })
}

const silences: ReadonlyArray<{ readonly name: string, readonly prepare: (setup: Setup) => Promise<void> }> = [
  { name: 'that it has not met', prepare: async () => {} },
  { name: 'that it has met', prepare: async ({ check, meant }) => { await check.list(meant, LEASE) } },
  { name: 'that it has met, with all connections open', prepare: async (setup) => { await startBurst(setup) } }
]

for (const { name, prepare } of silences) {
  // Tasks waited for a target that had been cut off: for each question, and for a free connection after it.
  test(`incarnation sockets: guards against the failure that a start that is not sent waits longer than a command may: target ${name} and that falls silent`, async () => {
    await play(async (setup) => {
      await prepare(setup)
      setup.target.answer = () => undefined
      const startedAt = performance.now()
      const results = await Promise.all(Array.from({ length: BURST }, async (_, run) => {
        const response = await setup.check.start(setup.meant, { ...START, run: BURST + run })
        return { response, waitedMs: performance.now() - startedAt }
      }))
      const sentRuns = new Set(setup.target.received.filter(({ path }) => path === START_PATH).map(({ body }) => body.run))
      const unsent = results.filter((_, run) => !sentRuns.has(BURST + run))
      for (const { response, waitedMs } of unsent) {
        assert.deepEqual(response, { type: 'unanswered', reason: 'incarnation-not-confirmed', sent: false })
        assert.ok(waitedMs < COMMAND_TIMEOUT_MS + BUSY_MS, `${waitedMs} ms`)
      }
    })
  })
}
