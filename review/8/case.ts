import { setTimeout as wait } from 'node:timers/promises'
import { JsonServer } from '../../platform/standin/json-server.ts'
import { WorkerServer } from '../../platform/standin/worker-server.ts'
import { EXIT, ReviewCell, isCalm, runCase } from '../shared-2/review-cell.ts'

const WORKERS = 6
const ZONES = ['east', 'west', 'south'] as const
const DEADLINE_MS = 3_000
const WATCH_MS = 8_000
/** What a text file begins with that an editor has saved with a byte order mark. */
const BYTE_ORDER_MARK = '\ufeff'
/** The rest of the file, which the stand-in of the worker reads. */
const TEXT = JSON.stringify({ ms: 100, note: 'felt motif '.repeat(30) })

await runCase(async (record) => {
  /** By job: what the client sent, and what workers were told to start. */
  const sent = new Map<string, string>()
  const told = new Map<string, Set<string>>()
  const cell = await ReviewCell.start({ record, members: 3, workers: 0 })
  const servers: Array<JsonServer | WorkerServer> = []
  try {
    for (let index = 0; index < WORKERS; index += 1) {
      const worker = await WorkerServer.listen({ id: `w${index}`, needsTickets: false, seed: index })
      // Passes all calls on to the worker, and notes the starts.
      const gateway = await JsonServer.listen(async ({ method, path, headers, body }) => {
        const { task, spec } = body as { task?: string, spec?: string }
        if (path === '/run-start' && task !== undefined && spec !== undefined) {
          const job = task.slice(0, task.indexOf('.'))
          told.set(job, (told.get(job) ?? new Set()).add(spec))
        }
        const response = await fetch(`http://${worker.address}${path}`, { method, headers: { 'content-type': 'application/json', 'expect-instance': String(headers['expect-instance']) }, body: JSON.stringify({ ...body as object, ...(spec === undefined ? {} : { spec: spec.replace(BYTE_ORDER_MARK, '') }) }) })
        const text = await response.text()
        return { status: response.status, body: text === '' ? undefined : JSON.parse(text) }
      })
      servers.push(worker, gateway)
      cell.kv.put(`servers/${worker.id}`, worker.createEntry('ready', gateway.address, ZONES[index % ZONES.length]))
    }
    if (!await cell.waitUntilReady(15_000)) return EXIT.notRun
    await wait(2_000)
    for (const [index, member] of cell.members.entries()) {
      const id = (0xa1 + index).toString(16).padStart(16, '0')
      const spec = isCalm ? TEXT : `${BYTE_ORDER_MARK}${TEXT}`
      sent.set(id, spec)
      const answer = await cell.call(member, 'POST', `/plain/${id}`, { spec, steps: [{ count: 2, cpu: 500, memMb: 128, estimatedMs: 100 }] }, DEADLINE_MS)
      cell.record(`client: POST ${id} at ${member.name} -> ${answer?.status ?? 'no answer'}; its spec has ${spec.length} characters and begins with ${describeStart(spec)}`)
      if (answer?.status !== 200) return EXIT.notRun
    }
    await wait(WATCH_MS)
    let changed = 0
    for (const [id, spec] of sent) {
      for (const received of told.get(id) ?? []) {
        cell.record(`worker: told to start ${id} with a spec of ${received.length} characters that begins with ${describeStart(received)}: ${received === spec ? 'the one that was sent' : 'ANOTHER ONE'}`)
        if (received !== spec) changed += 1
      }
    }
    if ([...sent.keys()].some((id) => !told.has(id))) return EXIT.notRun
    cell.record(changed > 0 ? `BROKEN: ${changed} jobs were started with another spec` : 'held')
    return changed > 0 ? EXIT.broken : EXIT.held
  } finally {
    await cell.close()
    for (const server of servers) server.close()
  }
})

/** The first code units of a text, in hexadecimal. */
function describeStart (text: string): string {
  return [0, 1, 2].map((index) => text.charCodeAt(index).toString(16)).join(' ')
}
