import assert from 'node:assert/strict'
import { writeFileSync } from 'node:fs'
import { test } from 'node:test'
import { MemberProcess, queryState } from '../platform/process-harness.ts'
import { Clients, countDescriptors, readPeakMb } from './client-load.ts'
import type { ClientLoad } from './client-load.ts'

const OCTET = 30 + process.pid % 100
const HEAP = '--max-old-space-size=120 --max-semi-space-size=4'
const LIMITS = { maxConnections: 100, maxRequests: 50, heldBytes: 8_000_000 }
/** The member itself has about 125 MB after its start. */
const PEAK_BOUND_MB = 230
const DESCRIPTOR_BOUND = 180
const BODY_HEADER = 'POST /short/00000000000000a2 HTTP/1.1\r\nHost: stop.example\r\nKey: key-of-stop\r\nTransfer-Encoding: chunked\r\n\r\n'

const cases: ReadonlyArray<{ readonly guards: string, readonly load: ClientLoad }> = [
  { guards: 'bodies in chunks of one byte take a hundred times their size', load: { clients: 40, start: BODY_HEADER, part: '1\r\na\r\n', repetitions: 100_000, reads: true } },
  { guards: 'pipelined requests of one connection are all held at once', load: { clients: 40, start: '', part: 'GET /short/00000000000000a1 HTTP/1.1\r\nHost: stop.example\r\nKey: key-of-stop\r\n\r\n', repetitions: 10_000, reads: false } },
  { guards: 'pipelined requests without the usual headers are all held at once', load: { clients: 80, start: '', part: 'GET / HTTP/1.1\r\nHost: a\r\n\r\n', repetitions: 40_000, reads: false } },
  { guards: 'many bodies that never end take the memory', load: { clients: 600, start: BODY_HEADER, part: `4000\r\n${'a'.repeat(16_384)}\r\n`, repetitions: 15, reads: true } },
  { guards: 'connections without a request take the descriptors', load: { clients: 400, start: 'GET /short/00000000000000a1 HTTP/1.1\r\nHost: ', part: '', repetitions: 0, reads: true } }
]

function writeSettings (path: string, text: string): void {
  writeFileSync(path, JSON.stringify({ platform: JSON.parse(text), product: { ingress: LIMITS } }))
}

for (const { guards, load } of cases) {
  test(`platform member, callers: guards against the failure that ${guards}`, async () => {
    const member = await MemberProcess.start(OCTET, writeSettings, { NODE_OPTIONS: HEAP })
    try {
      await member.waitUntilReady()
      const clients = await Clients.send(member.callers, load)
      assert.ok(member.process.isRunning, `the process ended: ${member.process.standardError.slice(-500)}`)
      const descriptors = countDescriptors(member.process.pid)
      const answer = await queryState(await member.connect())
      assert.ok(member.process.isRunning, 'the process ended')
      const peakMb = readPeakMb(member.process.pid)
      clients.close()
      assert.match(answer, /^HTTP\/1.1 410/)
      assert.ok(peakMb < PEAK_BOUND_MB, `${Math.round(peakMb)} MB`)
      assert.ok(descriptors < DESCRIPTOR_BOUND, `${descriptors} descriptors`)
    } finally {
      await member.close()
    }
  })
}

test('platform member, callers: guards against the failure that a body past its limit is read as long as it is sent', async () => {
  const member = await MemberProcess.start(OCTET, writeSettings, { NODE_OPTIONS: HEAP })
  try {
    await member.waitUntilReady()
    const clients = await Clients.send(member.callers, { clients: 2, start: BODY_HEADER, part: `4000\r\n${'a'.repeat(16_384)}\r\n`, repetitions: 4_000, reads: true })
    const { sentBytes } = clients
    assert.match(await queryState(await member.connect()), /^HTTP\/1.1 410/)
    clients.close()
    assert.ok(sentBytes < 32_000_000, `the member read ${sentBytes} bytes of two bodies`)
  } finally {
    await member.close()
  }
})
