const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * Computes a 32-bit FNV-1a hash with a final avalanche step, which distributes names evenly over groups and members. It is
 * not a cryptographic hash.
 *
 * @example
 * hash('target-7') % 8
 */
export function hash (text: string): number {
  let value = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) {
    value ^= text.charCodeAt(index)
    value = Math.imul(value, FNV_PRIME)
  }
  value ^= value >>> 16
  value = Math.imul(value, 0x85ebca6b)
  value ^= value >>> 13
  value = Math.imul(value, 0xc2b2ae35)
  return (value ^ (value >>> 16)) >>> 0
}
