import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import polka from 'polka'
import { Ingress, IngressPort } from '../ingress/index.ts'
import { ServerDrain } from '../util/server-drain.ts'
import { publishConfiguration, showConfiguration, showHistory, showOverview } from './configuration-routes.ts'
import type { ApiOptions, RouteOptions } from './options.ts'
import { createProblemDocument } from './problem-document.ts'
import { respond, respondProblem } from './respond.ts'
import { cancelMatching, cancelWork, explainTask, showWork, submitWork } from './work-routes.ts'

type RouteRequest = IncomingMessage & { readonly params: Readonly<Record<string, string | readonly string[] | undefined>> }
type Handler = (request: RouteRequest, response: ServerResponse) => Promise<void>

/** HTTP interface of one member for callers. */
export class ApiServer {
  private readonly drain: ServerDrain

  private readonly server: Server

  private constructor (port: IngressPort) {
    this.server = port.server
    this.drain = ServerDrain.create(port.server, port)
  }

  /**
   * Creates a server with all routes; `listen` opens the port.
   *
   * @example
   * await ApiServer.create(options).listen('127.0.0.1', 8080)
   */
  static create (options: ApiOptions): ApiServer {
    const ingress = options.ingress ?? Ingress.createDefault()
    const port = IngressPort.create({ ingress, kind: 'callers', getMaxBodyBytes: () => options.bodyLimitBytes })
    const { server } = port
    const app = polka({ server, onNoMatch: respondNotFound, onError: respondInternalError })
    registerRoutes(app, { ...options, ingress })
    server.on('request', app.handler)
    return new ApiServer(port)
  }

  /** Opens the port and returns its number. */
  async listen (host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    const address = this.server.address()
    return typeof address === 'object' && address !== null ? address.port : port
  }

  /** From now on each response closes its connection, so that callers send their next request to another member. */
  startDraining (): void {
    this.drain.start()
  }

  /** Stops accepting connections and resolves when every response has ended. */
  async close (): Promise<void> {
    await this.drain.close()
  }
}

function registerRoutes (app: polka.Polka, options: RouteOptions): void {
  app.post('/v1/requests', handleRejections(async (request, response) => await submitWork(options, 'request', request, response)))
  app.post('/v1/jobs', handleRejections(async (request, response) => await submitWork(options, 'job', request, response)))
  app.get('/v1/work/:id', handleRejections(async (request, response) => await showWork(options, getParameter(request, 'id'), response)))
  app.delete('/v1/work/:id', handleRejections(async (request, response) => await cancelWork(options, getParameter(request, 'id'), request, response)))
  app.delete('/v1/work', handleRejections(async (request, response) => {
    const query = parseQuery(request)
    await cancelMatching(options, { queue: query.get('queue') ?? undefined, team: query.get('team') ?? undefined }, request, response)
  }))
  app.get('/v1/tasks/:work/:index/explain', handleRejections(async (request, response) =>
    await explainTask(options, getParameter(request, 'work'), Number(getParameter(request, 'index')), response)))
  app.get('/v1/overview', handleRejections(async (request, response) => await showOverview(options, request, response)))
  app.get('/v1/configuration', handleRejections(async (request, response) => await showConfiguration(options, request, response)))
  app.get('/v1/configuration/history', handleRejections(async (request, response) => await showHistory(options, parseQuery(request), request, response)))
  app.post('/v1/configuration', handleRejections(async (request, response) => await publishConfiguration(options, request, response)))
  app.get('/healthz', (_request, response) => respond(response, options.isAlive() ? 200 : 503, 'text/plain', options.isAlive() ? 'ok\n' : 'not alive\n'))
  app.get('/readyz', (_request, response) => respond(response, options.isReady() ? 200 : 503, 'text/plain', options.isReady() ? 'ready\n' : 'not ready\n'))
  app.get('/metrics', (_request, response) => respond(response, 200, 'text/plain; version=0.0.4', options.formatMetrics()))
}

/** Responds with a problem document if a handler rejects; the verdict is `may-have-run` because the handler may have submitted work. */
function handleRejections (handler: Handler): (request: RouteRequest, response: ServerResponse) => void {
  return (request, response) => {
    handler(request, response).catch(() => {
      respondProblem(response, { ...createProblemDocument(500, 'internal', 'Internal error'), verdict: 'may-have-run' })
    })
  }
}

function respondNotFound (_request: IncomingMessage, response: ServerResponse): void {
  respondProblem(response, createProblemDocument(404, 'not-found', 'There is no such path'))
}

function respondInternalError (_error: unknown, _request: IncomingMessage, response: ServerResponse): void {
  respondProblem(response, { ...createProblemDocument(500, 'internal', 'Internal error'), verdict: 'may-have-run' })
}

function getParameter (request: RouteRequest, name: string): string {
  const value = request.params[name]
  return typeof value === 'string' ? value : ''
}

function parseQuery (request: IncomingMessage): URLSearchParams {
  return new URL(request.url ?? '/', 'http://localhost').searchParams
}
