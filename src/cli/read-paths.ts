import { readdirSync, readFileSync, statSync } from 'node:fs'
import { join } from 'node:path'
import type { Problem } from '../model/problem.ts'
import { SERVICE_FILE_SUFFIX, SERVICE_FILE_LIMIT_BYTES, type TextFile } from '../servicefiles/index.ts'

/** Files found below the given paths, by their type, and the problems of reading them. */
export type FoundFiles = {
  readonly services: readonly TextFile[]
  readonly settings: readonly TextFile[]
  readonly problems: readonly Problem[]
}

const SETTINGS_FILE_PATTERN = /(?:^|[./\\])settings\.json$/

/**
 * Reads the given files, and below the given folders all service files (`*.damaskfield.json`) and settings files
 * (`settings.json`, `*.settings.json`). Symbolic links to folders are not followed, so that there are no cycles.
 *
 * @example
 * readPaths(['examples/abay-sump'])
 */
export function readPaths (paths: readonly string[]): FoundFiles {
  const problems: Problem[] = []
  const files = [...new Set(paths.flatMap((path) => listPath(path, problems)))]
  const texts = files.flatMap((file) => readTextFile(file, problems))
  return {
    services: texts.filter(({ file }) => file.endsWith(SERVICE_FILE_SUFFIX)),
    settings: texts.filter(({ file }) => !file.endsWith(SERVICE_FILE_SUFFIX)),
    problems
  }
}

function listPath (path: string, problems: Problem[]): readonly string[] {
  try {
    return statSync(path).isDirectory() ? listFilesBelow(path) : [path]
  } catch (error) {
    problems.push(createUnreadableProblem(path, error))
    return []
  }
}

function listFilesBelow (folder: string): readonly string[] {
  const entries = readdirSync(folder, { withFileTypes: true }).sort((left, right) => left.name < right.name ? -1 : 1)
  return entries.flatMap((entry) => {
    const path = join(folder, entry.name)
    if (entry.isDirectory()) return entry.name === 'node_modules' || entry.name === '.git' ? [] : listFilesBelow(path)
    return entry.name.endsWith(SERVICE_FILE_SUFFIX) || SETTINGS_FILE_PATTERN.test(entry.name) ? [path] : []
  })
}

function readTextFile (file: string, problems: Problem[]): readonly TextFile[] {
  try {
    const { size } = statSync(file)
    if (size <= SERVICE_FILE_LIMIT_BYTES) return [{ file, text: readFileSync(file, 'utf8') }]
    problems.push({ code: 'too-large', file, pointer: '', found: `${size} bytes`, allowed: `at most ${SERVICE_FILE_LIMIT_BYTES} bytes` })
  } catch (error) {
    problems.push(createUnreadableProblem(file, error))
  }
  return []
}

function createUnreadableProblem (file: string, error: unknown): Problem {
  return { code: 'unreadable', file, pointer: '', found: (error as { code?: string }).code ?? String(error), allowed: 'a readable file or folder' }
}
