import { readdirSync, readFileSync, readlinkSync, statSync } from 'node:fs'

/** Bits of the open flags that allow writing: O_WRONLY and O_RDWR. */
const WRITE_ACCESS_FLAGS = 0o3

/**
 * Finds resources that a member process must not have: child processes, io_uring instances, regular files that are open
 * for writing (sockets, pipes and devices are allowed), and shared memory with other processes.
 *
 * @example
 * inspectProcess(member.pid) // []
 */
export function inspectProcess (pid: number): readonly string[] {
  return [...findChildProcesses(pid), ...findWritableFiles(pid), ...findSharedMemory(pid)]
}

function findChildProcesses (pid: number): readonly string[] {
  return readdirSync(`/proc/${pid}/task`).flatMap((thread) => {
    const children = readFileSync(`/proc/${pid}/task/${thread}/children`, 'utf8').trim()
    return children === '' ? [] : [`child processes ${children}`]
  })
}

function findWritableFiles (pid: number): readonly string[] {
  return readdirSync(`/proc/${pid}/fd`).flatMap((descriptor) => {
    const path = `/proc/${pid}/fd/${descriptor}`
    try {
      const target = readlinkSync(path)
      if (target.includes('io_uring')) return [`io_uring at descriptor ${descriptor}`]
      return statSync(path).isFile() && isWritable(pid, descriptor) ? [`file ${target} open for writing`] : []
    } catch {
      return []
    }
  })
}

function isWritable (pid: number, descriptor: string): boolean {
  const flags = /^flags:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/fdinfo/${descriptor}`, 'utf8'))?.[1] ?? '0'
  return (parseInt(flags, 8) & WRITE_ACCESS_FLAGS) !== 0
}

function findSharedMemory (pid: number): readonly string[] {
  const lines = readFileSync(`/proc/${pid}/maps`, 'utf8').split('\n')
  return lines.filter((line) => / [r-][w-][x-]s /.test(line) && /\/dev\/shm|SYSV/.test(line)).map((line) => `shared memory ${line}`)
}
