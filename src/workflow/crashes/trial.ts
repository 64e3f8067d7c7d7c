/**
 * A crash that is noticed within this time after the start of a task may be due to it, in milliseconds. Nothing else starts
 * for as long on a target on which a task has started that may crash it.
 */
export const TRIAL_MS = 300

/** A task works if its target still has its run this long after it had accepted it, in milliseconds. */
export const SETTLED_MS = 100
