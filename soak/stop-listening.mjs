// Loaded into each member process before its bundle. On SIGUSR2 the process refuses connections at all its ports and runs on,
// as behind links that refuse.
import { Server } from 'node:net'

const servers = new Set()
const sockets = new Set()
const { listen } = Server.prototype

Server.prototype.listen = function (...args) {
  servers.add(this)
  this.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  return listen.apply(this, args)
}

process.on('SIGUSR2', () => {
  for (const server of servers) Server.prototype.close.call(server)
  for (const socket of sockets) socket.destroy()
})
