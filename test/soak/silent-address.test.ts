import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { test } from 'node:test'
import { request } from 'undici'
import { SilentAddress } from '../../soak/silent-address.ts'

const HOST = '127.0.0.2'
const PORT = 17_420
const SILENCE_MS = 500

// An address that refused connections would tell a member that the process there has ended.
test('silent address: a connection is set up, and a request gets no answer', async () => {
  const address = await SilentAddress.listen(HOST, PORT)
  const socket = connect(PORT, HOST).on('error', () => {})
  await once(socket, 'connect')
  await assert.rejects(request(`http://${HOST}:${PORT}/`, { signal: AbortSignal.timeout(SILENCE_MS) }), { name: 'TimeoutError' })
  assert.equal(socket.destroyed, false)
  address.close()
  await once(socket.resume(), 'close')
})
