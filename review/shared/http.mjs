// Small HTTP helpers for the stand-ins: a JSON server on a loopback address and a client for one request.
import { createServer, request as sendRequest } from 'node:http'

/**
 * Starts a JSON server. `handle` gets the method, path, query, headers and decoded body, and returns the status and body
 * of the response, or undefined to leave the call unanswered.
 */
export function listenJson ({ host, port, handle }) {
  const sockets = new Set()
  const server = createServer((request, response) => {
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('error', () => {})
    request.on('end', async () => {
      const url = new URL(request.url, 'http://standin')
      const text = Buffer.concat(chunks).toString()
      const call = { method: request.method, path: url.pathname, query: url.searchParams, headers: request.headers, body: text === '' ? {} : JSON.parse(text) }
      const answer = await handle(call)
      if (answer === undefined || response.destroyed) return
      const body = answer.body === undefined ? '' : JSON.stringify(answer.body)
      response.writeHead(answer.status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) })
      response.end(body)
    })
  })
  server.keepAliveTimeout = 120_000
  server.on('connection', (socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  })
  const close = () => {
    server.close()
    for (const socket of sockets) socket.destroy()
  }
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve({ address: `${host}:${server.address().port}`, close }))
  })
}

/** Sends one request on a new connection. Resolves with status and body; status 0 means that no response arrived. */
export function call ({ address, method, path, headers = {}, body, timeoutMs = 3_000 }) {
  const [hostname, port] = address.split(':')
  const content = body === undefined ? undefined : JSON.stringify(body)
  return new Promise((resolve) => {
    const request = sendRequest({ hostname, port, method, path, agent: false, headers: { ...headers, ...(content === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(content) }) } }, (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('error', () => finish({ status: 0, body: {} }))
      response.on('end', () => finish({ status: response.statusCode, retryAfter: response.headers['retry-after'], body: parse(Buffer.concat(chunks).toString()) }))
    })
    const timer = setTimeout(() => {
      finish({ status: 0, body: {} })
      request.destroy()
    }, timeoutMs)
    const finish = (outcome) => {
      clearTimeout(timer)
      resolve(outcome)
    }
    request.on('error', () => finish({ status: 0, body: {} }))
    request.end(content)
  })
}

function parse (text) {
  try {
    return JSON.parse(text)
  } catch {
    return {}
  }
}
