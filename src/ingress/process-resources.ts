import { readFileSync } from 'node:fs'
import { totalmem } from 'node:os'

/** What the operating system gives to this process. */
export type ProcessResources = {
  readonly memoryBytes: number
  /** Maximum number of open descriptors. */
  readonly descriptors: number
}

/** Assumed where the operating system does not tell the limit. */
const DEFAULT_DESCRIPTORS = 4_096

/**
 * Reads the memory and the descriptors that this process has. What its settings say of them goes before what the operating system
 * says, which may tell the limits of the host.
 *
 * @example
 * readProcessResources({ descriptors: 4_100 }) // { memoryBytes: 262144000, descriptors: 4100 }
 */
export function readProcessResources ({ memoryBytes, descriptors }: Partial<ProcessResources> = {}): ProcessResources {
  return { memoryBytes: memoryBytes ?? readMemory(), descriptors: descriptors ?? readDescriptorLimit() }
}

function readMemory (): number {
  const constrainedBytes = process.constrainedMemory()
  return constrainedBytes > 0 ? Math.min(constrainedBytes, totalmem()) : totalmem()
}

function readDescriptorLimit (): number {
  try {
    const limit = Number(/^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))?.[1])
    return limit > 0 ? limit : DEFAULT_DESCRIPTORS
  } catch {
    return DEFAULT_DESCRIPTORS
  }
}
