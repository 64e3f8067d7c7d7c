import type { Socket } from 'node:net'

/**
 * Resets a connection. One whose end waits to be sent cannot be reset, and would stay open and keep the process busy; it is
 * closed instead.
 *
 * @example
 * for (const socket of sockets) resetSocket(socket)
 */
export function resetSocket (socket: Socket): void {
  if (socket.writableEnded) socket.destroy()
  else socket.resetAndDestroy()
}
