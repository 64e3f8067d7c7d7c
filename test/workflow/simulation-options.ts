/** What a simulation contains besides lost responses, outages, crashes, cancellations and new leaders. */
export type SimulationOptions = {
  /** Targets are drained, leave, and are replaced by others. */
  readonly draining: boolean
  /** Some tasks crash each target on which they start, and the leader changes after some of these crashes. */
  readonly crashing: boolean
  /** The capacity of targets shrinks for a while. */
  readonly shrinking: boolean
  /** One target after the other crashes by itself. */
  readonly restless: boolean
  /**
   * Targets restart under their ids, some at once, some behind a cut, with a longest lease of 10 s; list requests are lost or
   * broken off.
   */
  readonly restarting: boolean
  /** Commands and list requests without an answer are executed 2 to 12 s later; if `restarting`, also by the next incarnation. */
  readonly late: boolean
  /** There are tasks that last, and repeated jobs whose occurrences overlap; the clocks of leaders differ by 250 ms. */
  readonly varied: boolean
  /** The clocks of all targets are 2% slow. */
  readonly slow: boolean
  /** Some starts are refused for want of room, and extend the lease all the same. */
  readonly refusing: boolean
  /** Tasks last for the whole simulation, and it is watched whether what waits is started in time. */
  readonly lasting: boolean
  /** Targets go away for 20 to 30 s, silent or refusing, some of them 0.5 to 20 s after they have restarted. */
  readonly leaving: boolean
  /**
   * Each command but a stop goes over a connection that ends with the incarnation that it is meant for, and a target loses with its
   * end what it has not carried out yet. Without it, commands reach whichever incarnation is there.
   */
  readonly connected: boolean
  /** New leaders follow one another every 2 to 8 s. */
  readonly takingOver: boolean
  /** There are batch jobs whose tasks save checkpoints, and which are stopped for urgent ones. */
  readonly preempting: boolean
  /** The last attempts of speculative tasks start on several targets; more runs fail. */
  readonly parallelAttempts: boolean
}

export const NO_OPTIONS: SimulationOptions = { draining: false, crashing: false, shrinking: false, restless: false, restarting: false, late: false, varied: false, slow: false, refusing: false, lasting: false, leaving: false, connected: false, takingOver: false, preempting: false, parallelAttempts: false }
