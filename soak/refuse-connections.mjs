// Loaded into each member process before its bundle. On SIGUSR2 the process runs on as behind links that refuse: it refuses
// connections at all its ports and gets none itself, but goes on with those that it has opened.
import { Server, Socket } from 'node:net'

const servers = new Set()
const sockets = new Set()
let refuses = false
const { listen } = Server.prototype
const { connect } = Socket.prototype

Server.prototype.listen = function (...args) {
  servers.add(this)
  this.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  return listen.apply(this, args)
}

Socket.prototype.connect = function (...args) {
  if (refuses) return this.destroy(Object.assign(new Error('connect ECONNREFUSED'), { code: 'ECONNREFUSED' }))
  return connect.apply(this, args)
}

process.on('SIGUSR2', () => {
  refuses = true
  for (const server of servers) Server.prototype.close.call(server)
  for (const socket of sockets) socket.destroy()
})
