import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import type { Dispatcher } from 'undici'
import { HttpClient } from '../../platform/http-client.ts'
import { HttpExchange } from '../../platform/http-exchange.ts'
import { formatAnswer, RestartingTarget } from './restarting-target.ts'
import type { ConnectionEnd } from './restarting-target.ts'

const AMPLE_TIMEOUT_MS = 5_000
const SHORT_TIMEOUT_MS = 60
const SILENT_TIMEOUT_MS = 1_000
const SETTLE_MS = 20
const CONNECTIONS = 2
const SILENT_PATH = '/silent'
const ANSWERED_PATH = '/answered'
const BOUND_PATH = '/bound'

const ENDS: readonly ConnectionEnd[] = ['closed', 'reset', 'left open']

type Sending = ReturnType<HttpClient['send']>

type Setup = { readonly target: RestartingTarget, readonly client: HttpClient, readonly send: (path: string, timeoutMs?: number) => Sending }

/** What happens on the connections before the target restarts, and which requests are still pending then. */
type Before = { readonly name: string, readonly prepare: (setup: Setup) => Promise<readonly Sending[]> }

const befores: readonly Before[] = [
  {
    name: 'an idle connection',
    prepare: async ({ send }) => {
      await send(ANSWERED_PATH)
      return []
    }
  },
  {
    name: 'idle connections',
    prepare: async ({ send }) => {
      await Promise.all([send(ANSWERED_PATH), send(ANSWERED_PATH)])
      return []
    }
  },
  { name: 'a pending request', prepare: async ({ send }) => [send(SILENT_PATH)] },
  { name: 'a pending request on each connection', prepare: async ({ send }) => [send(SILENT_PATH), send(SILENT_PATH)] },
  {
    name: 'a pending request and a pool that was replaced after timeouts',
    prepare: async ({ send }) => {
      const pending = send(SILENT_PATH, SILENT_TIMEOUT_MS)
      await send(SILENT_PATH, SHORT_TIMEOUT_MS)
      await send(SILENT_PATH, SHORT_TIMEOUT_MS)
      return [pending]
    }
  }
]

/** Whether the client has seen the end of its connections when it gets the request. */
const moments = [{ name: 'after', settleMs: SETTLE_MS }, { name: 'just as', settleMs: 0 }]

for (const { name, prepare } of befores) {
  for (const end of ENDS) {
    for (const moment of moments) {
      // A request that may be written only to connections opened before a moment, `connectedAt`, must not reach a later process.
      test(`http client: guards against the failure that a connection opens unnoticed ${moment.name} the server restarts, with ${name} that is ${end}`, async () => {
        const target = await RestartingTarget.start()
        target.answer = (request) => request.path === SILENT_PATH ? undefined : formatAnswer(request)
        const client = HttpClient.create(target.address, CONNECTIONS)
        const send: Setup['send'] = (path, timeoutMs = AMPLE_TIMEOUT_MS) => client.send({ method: 'POST', path, body: {}, timeoutMs })
        try {
          const pending = await prepare({ target, client, send })
          await wait(SETTLE_MS)
          const askedAt = performance.now()
          const bind = (): Sending => client.send({ method: 'POST', path: BOUND_PATH, body: {}, timeoutMs: AMPLE_TIMEOUT_MS, mayBeSent: () => client.connectedAt < askedAt })
          // Some wait for a connection already as the target ends, some come later.
          const early = [bind(), bind()]
          await target.crash(end)
          await target.restart()
          await wait(moment.settleMs)
          const late = [bind(), bind(), bind()]
          await wait(SETTLE_MS)
          assert.deepEqual(target.pathsOf(2), [])
          client.close()
          for (const result of await Promise.all([...early, ...late, ...pending])) {
            if (result.isErr() && result.error.reason === 'withheld') assert.equal(result.error.sent, false)
          }
        } finally {
          client.close()
          await target.close()
        }
      })
    }
  }
}

// TWICE: the connections of a pool that was replaced outlived their client, and were opened without the knowledge of the next one.
test('http client: guards against the failure that a request of a replaced pool is written after its client was closed', async () => {
  const target = await RestartingTarget.start()
  target.answer = (request) => request.path === SILENT_PATH ? undefined : formatAnswer(request)
  const client = HttpClient.create(target.address, 1)
  const send = (path: string, timeoutMs: number): Sending => client.send({ method: 'POST', path, body: {}, timeoutMs })
  try {
    const pending = send(SILENT_PATH, SILENT_TIMEOUT_MS)
    const queued = send(BOUND_PATH, SILENT_TIMEOUT_MS)
    await Promise.all([send(SILENT_PATH, SHORT_TIMEOUT_MS), send(SILENT_PATH, SHORT_TIMEOUT_MS)])
    client.close()
    await target.crash('reset')
    await target.restart()
    assert.deepEqual((await queued)._unsafeUnwrapErr(), { reason: 'unreachable', sent: false })
    assert.deepEqual((await pending)._unsafeUnwrapErr(), { reason: 'broken', sent: true })
    assert.deepEqual(target.pathsOf(2), [])
  } finally {
    client.close()
    await target.close()
  }
})

// By reading, not seen: undici queues the request of a connection again that it has closed itself (`UND_ERR_INFO`).
test('http exchange: guards against the failure that a request which was written is written again, or is reported as not sent', async () => {
  const exchange = HttpExchange.create(AMPLE_TIMEOUT_MS, { mayBeSent: () => true })
  const controller = { abort: () => {} } as unknown as Dispatcher.DispatchController
  exchange.onRequestStart(controller)
  assert.throws(() => exchange.onRequestStart(controller))
  assert.deepEqual(await exchange.outcome, { type: 'failed', failure: { reason: 'broken', sent: true } })
})
