import { checkConfiguration } from '../../platform/check-configuration.ts'
import { runDemo } from '../demo/run-demo.ts'
import { startMember } from '../runtime/start-member.ts'
import type { ProgramDependencies } from './base-command.ts'

/** The functions of other modules that the commands call in the binary. */
export const DEPENDENCIES: ProgramDependencies = { startMember, runDemo, checkConfiguration }
