import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { test } from 'node:test'
import { LeftAddress } from '../../soak/left-address.ts'
import type { LeftAddressState } from '../../soak/left-address.ts'

type Case = { readonly state: LeftAddressState, readonly isClosed: boolean }

const HOST = '127.0.0.2'
const PORT = 17_420
const SILENCE_MS = 300

const CASES: readonly Case[] = [
  { state: 'silent', isClosed: false },
  { state: 'closing', isClosed: true }
]

for (const { state, isClosed } of CASES) {
  // An address that refused connections would tell a member that the process there has ended.
  test(`left address (${state}): a connection is set up, and ${isClosed ? 'closed at once' : 'a request gets no answer'}`, async () => {
    const address = await LeftAddress.listen(HOST, PORT, state)
    try {
      const socket = connect(PORT, HOST).on('error', () => {})
      const closing = new Promise((resolve) => socket.on('close', () => resolve('closed')))
      await once(socket, 'connect')
      socket.resume().write('GET / HTTP/1.1\r\n\r\n')
      const silence = once(socket, 'data', { signal: AbortSignal.timeout(SILENCE_MS) }).then(() => 'answered', () => 'silent')
      assert.equal(await Promise.race([closing, silence]), isClosed ? 'closed' : 'silent')
      address.close()
      assert.equal(await closing, 'closed')
    } finally {
      address.close()
    }
  })
}
