// Stand-in for the service at `advice`, as PROTOCOL.md describes it: one call at a time for each calling machine, in turn.
import { listenJson } from './http.mjs'

const MAX_WAITING = 32

/** `getTimings(job)` returns the `advice` of the job's queue. The service allows all workers that a call names. */
export class Advisor {
  tickets = new Map()
  waiting = 0
  nextTicket = 1

  constructor (getTimings, record) {
    this.getTimings = getTimings
    this.record = record
    this.isTicketValid = (ticket, step, worker) => {
      const known = this.tickets.get(ticket)
      return known !== undefined && known.step === step && known.worker === worker.id && known.born === worker.born && known.until > performance.now()
    }
  }

  /** Opens the service's address as one machine reaches it. Returns the address and the number of calls in work. */
  async listenFor ({ machine, host, getWorker }) {
    const port = { inWork: 0 }
    let turn = Promise.resolve()
    const server = await listenJson({
      host,
      port: 0,
      handle: async ({ path, body }) => {
        if (path !== '/advise') return { status: 404 }
        if (this.waiting >= MAX_WAITING) return { status: 429 }
        this.waiting += 1
        port.inWork += 1
        const earlier = turn
        let endTurn
        turn = new Promise((resolve) => { endTurn = resolve })
        await earlier
        const { decisionMs, eachMs, validityMs } = this.getTimings(body.step.split('.')[0])
        await new Promise((resolve) => setTimeout(resolve, decisionMs + eachMs * body.workers.length))
        endTurn()
        this.waiting -= 1
        port.inWork -= 1
        const good = body.workers.map((id) => [id, this.issue(body.step, getWorker(id), validityMs)])
        this.record('advised', { machine, step: body.step, workers: body.workers.length })
        return { status: 200, body: { good, validityMs } }
      }
    })
    return Object.assign(port, { address: server.address, close: server.close })
  }

  issue (step, worker, validityMs) {
    const ticket = `ticket-${this.nextTicket++}`
    this.tickets.set(ticket, { step, worker: worker?.id, born: worker?.born, until: performance.now() + validityMs })
    return ticket
  }
}
