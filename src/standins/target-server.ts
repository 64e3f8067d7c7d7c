import type { TargetCall } from '../ports/target-client.ts'
import { clockNow } from './clock.ts'
import { StandinServer } from './http-server.ts'
import type { HttpResponse } from './http-server.ts'
import type { TargetDriver } from './standin-drivers.ts'
import { createTargetDriver } from './standin-drivers.ts'
import type { InMemoryTarget } from './target.ts'

/**
 * Serves a target over HTTP. `POST /admin/target` accepts `{ "leaving": true, "failing": true, "restart": true }`, each
 * optional. `POST /admin/executions` returns the execution log.
 *
 * Wire format: the request is the call as JSON. The response is 200 `{ "answer": … }`, 409 `{ "refused": "fenced" }` or
 * `{ "refused": "unknown-lease" }` for a call that had no effect, and 503 during an outage.
 *
 * @example
 * const server = await serveTarget(InMemoryTarget.create({ capacity }))
 */
export async function serveTarget (target: InMemoryTarget, port = 0): Promise<StandinServer> {
  const driver = createTargetDriver(target)
  return StandinServer.listen({
    port,
    call: (body) => handleTargetCall(driver, body as TargetCall),
    admin: {
      target: (body) => applyTargetChange(target, driver, body as TargetChange),
      executions: () => Promise.resolve({ status: 200, body: { executions: target.executions } })
    },
    onClose: () => driver.close()
  })
}

type TargetChange = { readonly leaving?: boolean, readonly failing?: boolean, readonly restart?: boolean }

async function handleTargetCall (driver: TargetDriver, call: TargetCall): Promise<HttpResponse> {
  const result = await driver.call(call)
  return result.match<HttpResponse>(
    (response) => ({ status: 200, body: { answer: response } }),
    (failure) => ({ status: 409, body: { refused: failure.reason } })
  )
}

function applyTargetChange (target: InMemoryTarget, driver: TargetDriver, change: TargetChange): Promise<HttpResponse> {
  if (change.leaving !== undefined) target.setLeaving(change.leaving)
  if (change.failing !== undefined) target.setFailing(change.failing)
  if (change.restart === true) target.restart(clockNow())
  driver.resumeWaitingCalls()
  return Promise.resolve({ status: 200, body: {} })
}
