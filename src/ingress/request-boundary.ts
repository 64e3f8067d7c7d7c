const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/**
 * Returns the number of bytes up to and with the first blank line, or all if there is none. The headers of a request end
 * with a blank line, so that at most one request begins to be served per part.
 *
 * @example
 * findBoundary(Buffer.from('GET / HTTP/1.1\r\n\r\nGET ')) // 18
 */
export function findBoundary (bytes: Buffer): number {
  for (let end = bytes.indexOf(LINE_FEED); end !== -1; end = bytes.indexOf(LINE_FEED, end + 1)) {
    if (bytes[end + 1] === LINE_FEED) return end + 2
    if (bytes[end + 1] === CARRIAGE_RETURN && bytes[end + 2] === LINE_FEED) return end + 3
  }
  return bytes.length
}
