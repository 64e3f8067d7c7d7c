import { readdirSync, readFileSync, statSync } from 'node:fs'
import { join } from 'node:path'
import type { Problem } from '../model/problem.ts'
import { SERVICE_FILE_SUFFIX, SERVICE_FILE_LIMIT_BYTES, type TextFile } from '../servicefiles/index.ts'

/** Files found under the given paths, by what they are. */
export type FoundFiles = {
  readonly services: readonly TextFile[]
  readonly settings: readonly TextFile[]
  readonly problems: readonly Problem[]
}

const SETTINGS_NAME = /(?:^|[./\\])settings\.json$/

/**
 * Reads the given files, and below the given folders all service files (`*.damaskfield.json`) and settings files
 * (`settings.json`, `*.settings.json`). Links to folders are not followed, so a cycle cannot occur.
 *
 * @example
 * readPaths(['examples/abay-sump'])
 */
export function readPaths (paths: readonly string[]): FoundFiles {
  const problems: Problem[] = []
  const files = [...new Set(paths.flatMap((path) => expand(path, problems)))]
  const texts = files.flatMap((file) => read(file, problems))
  return {
    services: texts.filter(({ file }) => file.endsWith(SERVICE_FILE_SUFFIX)),
    settings: texts.filter(({ file }) => !file.endsWith(SERVICE_FILE_SUFFIX)),
    problems
  }
}

function expand (path: string, problems: Problem[]): readonly string[] {
  try {
    return statSync(path).isDirectory() ? filesBelow(path) : [path]
  } catch (error) {
    problems.push(unreadable(path, error))
    return []
  }
}

function filesBelow (folder: string): readonly string[] {
  const entries = readdirSync(folder, { withFileTypes: true }).sort((left, right) => left.name < right.name ? -1 : 1)
  return entries.flatMap((entry) => {
    const path = join(folder, entry.name)
    if (entry.isDirectory()) return entry.name === 'node_modules' || entry.name === '.git' ? [] : filesBelow(path)
    return entry.name.endsWith(SERVICE_FILE_SUFFIX) || SETTINGS_NAME.test(entry.name) ? [path] : []
  })
}

function read (file: string, problems: Problem[]): readonly TextFile[] {
  try {
    const { size } = statSync(file)
    if (size <= SERVICE_FILE_LIMIT_BYTES) return [{ file, text: readFileSync(file, 'utf8') }]
    problems.push({ code: 'too-large', file, pointer: '', found: `${size} bytes`, allowed: `at most ${SERVICE_FILE_LIMIT_BYTES} bytes` })
  } catch (error) {
    problems.push(unreadable(file, error))
  }
  return []
}

function unreadable (file: string, error: unknown): Problem {
  return { code: 'unreadable', file, pointer: '', found: (error as { code?: string }).code ?? String(error), allowed: 'a readable file or folder' }
}
