// A loopback proxy in front of one address. It can reset the connections that are open; new connections work.
import { connect, createServer } from 'node:net'

export function openLink (host, target) {
  const [targetHost, targetPort] = target.split(':')
  const pairs = new Set()
  const server = createServer((client) => {
    const peer = connect({ host: targetHost, port: Number(targetPort) })
    const pair = { client, peer }
    pairs.add(pair)
    const close = () => {
      pairs.delete(pair)
      client.destroy()
      peer.destroy()
    }
    for (const socket of [client, peer]) socket.on('error', close).on('close', close)
    client.on('data', (bytes) => peer.write(bytes))
    peer.on('data', (bytes) => client.write(bytes))
  })
  const resetOpen = () => {
    const count = pairs.size
    for (const { client, peer } of pairs) {
      client.resetAndDestroy()
      peer.destroy()
    }
    return count
  }
  return new Promise((resolve) => server.listen(0, host, () => resolve({
    address: `${host}:${server.address().port}`,
    resetOpen,
    close: () => {
      server.close()
      resetOpen()
    }
  })))
}
