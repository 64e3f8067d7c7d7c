import { build } from 'esbuild'
import { join } from 'node:path'

/** Packages that bunyan loads only if they are installed. */
const OPTIONAL_PACKAGES = ['dtrace-provider', 'mv', 'moment', 'source-map-support', 'safe-json-stringify']

/**
 * Bundles the command line program for the processes of a test and returns the path of the bundle.
 *
 * @example
 * const bundle = await bundleProgram('/tmp/folder')
 */
export async function bundleProgram (folder: string): Promise<string> {
  const outfile = join(folder, 'damaskfield.cjs')
  await build({ entryPoints: ['src/cli/main.ts'], outfile, bundle: true, platform: 'node', target: 'node20', format: 'cjs', external: OPTIONAL_PACKAGES, logLevel: 'error' })
  return outfile
}
