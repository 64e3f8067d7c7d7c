import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { WorkerCommands } from '../../platform/worker-commands.ts'
import { IncarnationCheck } from '../../src/controller/commands/incarnation-check.ts'
import { Random } from '../../src/util/random.ts'
import { formatAnswer, RestartingTarget } from './restarting-target.ts'
import type { ConnectionEnd, ReceivedRequest } from './restarting-target.ts'

const FIRST_SEED = Number(process.env.SEED ?? 1)
const SEEDS = Number(process.env.SEEDS ?? 3)
const RESTARTS = 6
const MAX_UPTIME_MS = 400
const MAX_DOWN_MS = 60
const MAX_PAUSE_MS = 12
const MAX_BURST = 6
const MAX_ANSWER_DELAY_MS = 25
const ENDS: readonly ConnectionEnd[] = ['closed', 'reset', 'left open']

/** How the target treats connections, each for some requests. */
type Manners = { readonly closingRatio: number, readonly silentRatio: number }

const manners: ReadonlyArray<Manners & { readonly name: string }> = [
  { name: 'keeps its connections open', closingRatio: 0, silentRatio: 0 },
  { name: 'closes some of its connections after a response', closingRatio: 0.3, silentRatio: 0 },
  { name: 'leaves some requests without an answer, so that clients use new connections', closingRatio: 0.1, silentRatio: 0.3 }
]

/** Answers some requests late, and some not at all. */
function answerWith (random: Random, { closingRatio, silentRatio }: Manners): RestartingTarget['answer'] {
  return (request, socket) => {
    if (random.next() < silentRatio) return undefined
    const closes = random.next() < closingRatio
    const answer = formatAnswer(request, closes ? 'connection: close\r\n' : '')
    setTimeout(() => {
      if (!socket.writable) return
      if (closes) socket.end(answer)
      else socket.write(answer)
    }, random.nextInt(MAX_ANSWER_DELAY_MS))
    return undefined
  }
}

/**
 * Sends bursts of starts, and list requests, for the incarnation that a member knows of, until `isOver`. The number of the incarnation
 * that is meant takes the place of the time at which a lease ends.
 */
async function sendCommands (random: Random, target: RestartingTarget, commands: WorkerCommands, isOver: () => boolean): Promise<number> {
  const check = IncarnationCheck.create({ commands, reporter: { log: () => {}, count: () => {}, observe: () => {} } })
  let known = 1
  let accepted = 0
  const pending: Array<Promise<unknown>> = []
  const list = async (): Promise<void> => {
    const response = await check.list({ id: 't1', address: target.address, incarnation: known }, { epoch: 3, acknowledged: 0, leaseUntilMs: known, waitMs: random.nextInt(100) })
    if (response.type === 'listed') known = Math.max(known, response.listing.incarnation)
  }
  const start = async (): Promise<void> => {
    const response = await check.start({ id: 't1', address: target.address, incarnation: known }, { task: 'a', run: 1, payload: 'p', leaseUntilMs: known, epoch: 3, checkpoint: '', ticket: undefined })
    if (response.type === 'accepted') accepted += 1
  }
  while (!isOver()) {
    if (random.next() < 0.4) pending.push(list())
    for (let count = random.nextInt(MAX_BURST); count > 0; count -= 1) pending.push(start())
    // As when a client is closed because it was idle.
    if (random.next() < 0.01) commands.close()
    await wait(random.nextInt(MAX_PAUSE_MS))
  }
  await Promise.all(pending)
  return accepted
}

function findStray ({ received }: RestartingTarget): readonly ReceivedRequest[] {
  return received.filter(({ incarnation, body }) => body.deadlineMs !== undefined && body.deadlineMs !== incarnation)
}

for (const { name, ...manner } of manners) {
  // TWICE: a start or a lease that was meant for the life before reached the next one at its port.
  test(`incarnation schedules: guards against the failure that commands reach the next incarnation of a target which ${name}`, async () => {
    let accepted = 0
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
      const random = Random.create(seed)
      const target = await RestartingTarget.start()
      const commands = WorkerCommands.create()
      target.answer = answerWith(random, manner)
      let over = false
      const sending = sendCommands(random, target, commands, () => over)
      try {
        for (let restarts = 0; restarts < RESTARTS; restarts += 1) {
          await wait(random.nextInt(MAX_UPTIME_MS))
          await target.crash(ENDS[random.nextInt(ENDS.length)]!)
          await wait(random.nextInt(MAX_DOWN_MS))
          await target.restart()
        }
        await wait(MAX_UPTIME_MS)
      } finally {
        over = true
      }
      accepted += await sending
      commands.close()
      await target.close()
      assert.deepEqual(findStray(target), [], `seed ${seed}`)
    }
    assert.ok(accepted > 0)
  })
}
