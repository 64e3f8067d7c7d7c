import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { applyRevision, EMPTY_CONFIGURATION } from '../../src/model/apply-revision.ts'
import type { Change, Configuration, ConfigurationRevision } from '../../src/model/configuration.ts'
import { checkChanges, configurationToJson } from '../../src/servicefiles/index.ts'

const FREE = { cpuMillis: 16_000, memoryMiB: 65_536, accelerators: 0, slots: 8, connections: 60 }
const USED = { cpuMillis: 1000, memoryMiB: 512, accelerators: 0, slots: 1, connections: 0 }

/**
 * Fault of the next publication. `race` first publishes the given changes of another operator, `break-after` closes the
 * connection after the publication, and `gateway` responds with 502 without publishing.
 */
export type PublishFault = { readonly type: 'race', readonly changes: readonly Change[] } | { readonly type: 'break-after' } | { readonly type: 'gateway' }

/** A minimal entry host. It publishes configurations, and its responses about work are fixed. */
export class FakeServer {
  readonly requests: { readonly method: string, readonly url: string, readonly key: string | undefined, readonly idempotencyKey: string | undefined, readonly body: unknown }[] = []
  readonly publishFaults: PublishFault[] = []
  revisions: ConfigurationRevision[] = []
  configuration: Configuration = EMPTY_CONFIGURATION
  /** Fixed responses, by method and path without query. */
  readonly responses = new Map<string, { readonly status: number, readonly body: unknown }>()

  address = ''

  private constructor (private readonly server: Server) {}

  static async start (): Promise<FakeServer> {
    const server = createServer()
    const fake = new FakeServer(server)
    server.on('request', (request: IncomingMessage, response: ServerResponse) => { fake.handleRequest(request, response).catch(() => response.destroy()) })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    fake.address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    return fake
  }

  async stop (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise((resolve) => this.server.close(resolve))
  }

  publish (author: string, changes: readonly Change[]): void {
    const revision = { revision: this.configuration.revision + 1, author, at: 0, nonce: 'n', changes }
    this.revisions.push(revision)
    this.configuration = applyRevision(this.configuration, revision)
  }

  private async handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const text = Buffer.concat(chunks).toString()
    const body = text === '' ? undefined : JSON.parse(text)
    const url = new URL(request.url!, this.address)
    const { authorization, 'idempotency-key': idempotencyKey } = request.headers
    this.requests.push({ method: request.method!, url: request.url!, key: authorization, idempotencyKey: idempotencyKey as string | undefined, body })
    const fixedResponse = this.responses.get(`${request.method} ${url.pathname}`)
    if (fixedResponse !== undefined) return send(response, fixedResponse.status, fixedResponse.body)
    switch (`${request.method} ${url.pathname}`) {
      case 'GET /v1/configuration': return send(response, 200, configurationToJson(this.configuration))
      case 'GET /v1/configuration/history': return this.handleHistory(url, response)
      case 'POST /v1/configuration': return this.handlePublish(body, response)
      case 'GET /v1/overview': return send(response, 200, this.createOverview())
      default: return sendProblem(response, 404, { code: 'not-found', title: 'not found' })
    }
  }

  private handleHistory (url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get('after'))
    send(response, 200, { revisions: this.revisions.filter(({ revision }) => revision > after).slice(0, Number(url.searchParams.get('limit'))) })
  }

  private handlePublish (body: { author: string, expected: number, changes: unknown }, response: ServerResponse): void {
    const fault = this.publishFaults.shift()
    if (fault?.type === 'gateway') {
      response.writeHead(502).end('<html>bad gateway</html>')
      return
    }
    if (fault?.type === 'race') this.publish('rival', fault.changes)
    if (body.expected !== this.configuration.revision) {
      return sendProblem(response, 409, { code: 'conflict', title: 'conflict', verdict: 'not-run', revision: this.configuration.revision, author: this.revisions.at(-1)!.author })
    }
    const changes = checkChanges(body.changes, this.configuration)
    if (changes.isErr()) return sendProblem(response, 400, { code: 'invalid', title: 'invalid', detail: JSON.stringify(changes.error), verdict: 'not-run' })
    this.publish(body.author, changes.value)
    if (fault?.type === 'break-after') response.destroy()
    else send(response, 200, { revision: this.configuration.revision, inForce: ['entry-1'] })
  }

  private createOverview () {
    const targets = ['1', '2'].map((number) => ({ id: `t${number}`, host: `h${number}`, failureDomain: 'bole', state: 'live', capacity: FREE, used: USED }))
    const teams = [{ team: 'stock', used: USED, grant: FREE, share: 0.5, entitled: 0.25, waiting: 3 }]
    return { revision: this.configuration.revision, groups: [{ group: 0, owner: 'entry-1', epoch: 4, teams, targets, waiting: { urgent: 0, request: 1, service: 0, batch: 2, gang: 0 } }], missing: [1] }
  }
}

function send (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function sendProblem (response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/problem+json' }).end(JSON.stringify({ type: 'about:blank', status, ...body }))
}
