import assert from 'node:assert/strict'
import { once } from 'node:events'
import { writeFileSync } from 'node:fs'
import type { Socket } from 'node:net'
import { after, before, test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { StandinOperator } from '../../platform/standin/operator.ts'
import { WorkerServer } from '../../platform/standin/worker-server.ts'
import { MemberProcess, queryState } from '../platform/process-harness.ts'
import { Clients, countDescriptors, readPeakMb } from './client-load.ts'

const OCTET = 130 + process.pid % 100
const LIMITS = { maxConnections: 100, maxServiceConnections: 16, heldBytes: 8_000_000, requestTimeoutMs: 2_000, responseTimeoutMs: 2_000, idleTimeoutMs: 4_000 }
const HEAP = '--max-old-space-size=120 --max-semi-space-size=4'
const PEAK_BOUND_MB = 230
const DESCRIPTOR_BOUND = 220
const HOST = 'Host: stop.example\r\nKey: key-of-stop\r\n'
const GET = `GET /short/00000000000000a1 HTTP/1.1\r\n${HOST}\r\n`
const POST = `POST /short/00000000000000a2 HTTP/1.1\r\n${HOST}`
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n'
const JOB = JSON.stringify({ spec: '{"ms":1}', steps: [{ count: 1, cpu: 500, memMb: 64, estimatedMs: 1 }] })
const ONE_BYTE_CHUNKS = [...JOB].map((letter) => `1\r\n${letter}\r\n`).join('')

let member: MemberProcess

async function start (octet = OCTET, limits = LIMITS): Promise<MemberProcess> {
  const started = await MemberProcess.start(octet, (path, text) => writeFileSync(path, JSON.stringify({ platform: JSON.parse(text), product: { ingress: limits } })), { NODE_OPTIONS: HEAP })
  await started.waitUntilReady()
  return started
}

/** Collects what the member sends until it matches, or until the connection closes. */
async function receive (socket: Socket, expected: RegExp): Promise<string> {
  let text = ''
  socket.on('data', (bytes: Buffer) => { text += bytes.toString() })
  const closed = once(socket, 'close').then(() => { text += '[closed]' }, () => { text += '[closed]' })
  while (!expected.test(text) && !text.endsWith('[closed]')) await Promise.race([once(socket, 'data').catch(() => {}), closed])
  return text
}

before(async () => { member = await start() })
after(async () => await member.close())

const exchanges: ReadonlyArray<{ readonly guards: string, readonly send: string, readonly expected: RegExp }> = [
  { guards: 'a request that expects to be asked for a body and has none is not answered', send: GET.replace('\r\n\r\n', '\r\nExpect: 100-continue\r\n\r\n'), expected: /^HTTP\/1.1 410/ },
  { guards: 'a body is asked for that is refused by its key', send: `${POST.replace('key-of-stop', 'wrong')}Expect: 100-continue\r\nContent-Length: 100\r\n\r\n`, expected: /^HTTP\/1.1 401[^]*connection: close/i },
  { guards: 'a body is asked for that is refused by its length', send: `${POST}Expect: 100-continue\r\nContent-Length: 300000\r\n\r\n`, expected: /^HTTP\/1.1 413/ },
  { guards: 'a body that is expected to be asked for never is', send: `${POST}Expect: 100-continue\r\nContent-Length: ${JOB.length}\r\n\r\n`, expected: /^HTTP\/1.1 100 Continue/ },
  { guards: 'a body for an unknown queue is read before the refusal', send: `${POST.replace('/short/', '/none/')}${CHUNKED}5\r\n`, expected: /^HTTP\/1.1 404[^]*connection: close/i },
  { guards: 'a body of a method that takes none is read before the refusal', send: `${POST.replace('POST', 'PUT')}${CHUNKED}5\r\n`, expected: /^HTTP\/1.1 405/ },
  { guards: 'a request to upgrade hangs', send: GET.replace('\r\n\r\n', '\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n'), expected: /^HTTP\/1.1 410/ },
  { guards: 'a request for a tunnel hangs', send: 'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n', expected: /\[closed\]/ },
  { guards: 'headers without an end are read for ever', send: `GET / HTTP/1.1\r\nHost: a\r\nA: ${'a'.repeat(20_000)}`, expected: /^HTTP\/1.1 431/ },
  { guards: 'trailers without an end are read for ever', send: `${POST}${CHUNKED}0\r\n${'a: b\r\n'.repeat(20_000)}`, expected: /^HTTP\/1.1 (400|431)|\[closed\]/ },
  { guards: 'empty lines without an end are read for ever', send: '\r\n'.repeat(2_000_000), expected: /\[closed\]/ },
  { guards: 'a chunk whose size has no end is read for ever', send: `${POST}${CHUNKED}${'0'.repeat(4_000_000)}`, expected: /^HTTP\/1.1 4|\[closed\]/ },
  { guards: 'requests that were pipelined get no response', send: GET.repeat(5), expected: /(HTTP\/1.1 410[^]*){5}/ },
  { guards: 'a small request behind a body of a pipelining caller is lost', send: `${POST.replace('key-of-stop', 'wrong')}Content-Length: 4\r\n\r\nbody${GET}`, expected: /HTTP\/1.1 401[^]*HTTP\/1.1 410/ },
  { guards: 'an ordinary body in chunks of one byte with a trailer is refused', send: `${POST}${CHUNKED}${ONE_BYTE_CHUNKS}0\r\na: b\r\n\r\n`, expected: /^HTTP\/1.1 200/ },
  { guards: 'half a request keeps its connection', send: 'GET /short/00000000000000a1 HT', expected: /\[closed\]/ },
  { guards: 'a body without an end keeps its connection', send: `${POST}${CHUNKED}5\r\nab`, expected: /\[closed\]/ },
  { guards: 'a caller that is silent after its response keeps its connection', send: GET, expected: /^HTTP\/1.1 410[^]*\[closed\]/ },
  { guards: 'a caller that sends nothing keeps its connection', send: '', expected: /\[closed\]/ }
]

for (const { guards, send, expected } of exchanges) {
  test(`platform member, callers: guards against the failure that ${guards}`, async () => {
    const socket = await member.connect()
    socket.on('error', () => {})
    socket.write(send)
    assert.match(await receive(socket, expected), expected)
    socket.destroy()
    assert.match(await queryState(await member.connect()), /^HTTP\/1.1 410/)
  })
}

const loads = [
  { guards: 'trailers without an end take the memory', load: { clients: 40, start: `${POST}${CHUNKED}0\r\n`, part: 'a: b\r\n', repetitions: 100_000, reads: true } },
  { guards: 'slow readers take the memory', load: { clients: 40, start: '', part: GET, repetitions: 5_000, reads: false } }
]

for (const { guards, load } of loads) {
  test(`platform member, callers: guards against the failure that ${guards}`, async () => {
    const clients = await Clients.send(member.callers, load)
    assert.match(await queryState(await member.connect()), /^HTTP\/1.1 410/)
    assert.ok(readPeakMb(member.process.pid) < PEAK_BOUND_MB)
    assert.ok(countDescriptors(member.process.pid) < DESCRIPTOR_BOUND)
    clients.close()
  })
}

for (const port of ['8184', '9464']) {
  test(`platform member, port ${port}: guards against the failure that connections or bodies there take the descriptors or the memory`, async () => {
    const address = new URL(member.callers)
    address.port = port
    const clients = await Clients.send(address, { clients: 150, start: `POST / HTTP/1.1\r\nHost: a\r\n${CHUNKED}`, part: `4000\r\n${'a'.repeat(16_384)}\r\n`, repetitions: 20, reads: false })
    assert.ok((await fetch(address)).ok)
    assert.ok(countDescriptors(member.process.pid) < DESCRIPTOR_BOUND)
    assert.ok(readPeakMb(member.process.pid) < PEAK_BOUND_MB)
    clients.close()
  })
}

test('platform member, callers: guards against the failure that clients at a leader end its leadership or the runs of its jobs', async () => {
  const worker = await WorkerServer.listen({ id: 'w1', needsTickets: false })
  try {
    StandinOperator.create(member.kv).publishWorker(worker)
    const path = '/short/00000000000000b1'
    const body = JSON.stringify({ spec: '{}', steps: [{ count: 2, cpu: 500, memMb: 64, estimatedMs: 50, longRunning: true }] })
    const socket = await member.connect()
    socket.write(`POST ${path} HTTP/1.1\r\n${HOST}Content-Length: ${body.length}\r\n\r\n${body}`)
    assert.match(await receive(socket, /^HTTP\/1.1 \d/), /^HTTP\/1.1 200/)
    const countStarts = (): number => worker.starts.filter(({ task }) => task.startsWith('00000000000000b1')).length
    while (countStarts() < 2) await wait(50)
    const leader = member.kv.read('lead/holder')
    const bodies = await Clients.send(member.callers, { clients: 30, start: `${POST}${CHUNKED}`, part: '1\r\na\r\n', repetitions: 200_000, reads: true })
    const requests = await Clients.send(member.callers, { clients: 30, start: '', part: GET, repetitions: 5_000, reads: false })
    assert.match(await queryState(await member.connect()), /^HTTP\/1.1 410/)
    assert.equal(JSON.parse(member.kv.read('lead/holder')!).term, JSON.parse(leader!).term)
    assert.equal(countStarts(), 2)
    bodies.close()
    requests.close()
  } finally {
    worker.close()
  }
})

test('platform member, callers: guards against the failure that such clients keep a stopping process from ending, or that a pending request gets no response then', async () => {
  const stopping = await start(OCTET + 1, { ...LIMITS, requestTimeoutMs: 600_000, responseTimeoutMs: 600_000, idleTimeoutMs: 600_000 })
  try {
    const loads = ['', 'GET / HT', `${POST}${CHUNKED}5\r\nab`, `${POST}${CHUNKED}0\r\na: b`, GET.repeat(20_000)]
    const clients = await Promise.all(loads.map((text) => Clients.send(stopping.callers, { clients: 5, start: text, part: '', repetitions: 0, reads: false })))
    const socket = await stopping.connect()
    stopping.kv.mode = 'silent'
    // A leader answers queries without the store, but no submission.
    const response = receive(socket, /^HTTP\/1.1 \d+/)
    socket.write(`${POST}Content-Length: ${JOB.length}\r\n\r\n${JOB}`)
    await wait(200)
    stopping.process.signal('SIGTERM')
    assert.match(await response, /^HTTP\/1.1 50[34]/)
    assert.equal(await stopping.process.waitForExit(), 0)
    for (const client of clients) client.close()
  } finally {
    await stopping.close()
  }
})
