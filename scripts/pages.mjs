// Writes the pages that are generated from tables in the source. Run with `npm run pages`.
import { writeFileSync } from 'node:fs'
import { settingsPage } from '../src/settings/index.ts'

writeFileSync('docs/settings.md', settingsPage())
