package io.sequoiawheel.relay.serving

/**
 * Decides whether a generation may leave a replica whose stream is still read. Its run stays there while the replica
 * would not accept its stop, or the copy that the move needs.
 */
internal class MoveGate(
    private val context: RelayContext,
    private val attempts: GenerationAttempts,
    private val runsLeft: RunsLeft,
    private val log: GenerationLog,
) {
    private var held: GenerationAttempt? = null

    /** Whether [source] is to be left, but was not allowed to be. */
    fun isHeld(source: GenerationAttempt): Boolean = held === source

    /**
     * Reserves the stop of the run of [source], and returns whether the generation may leave it.
     *
     * @param hasCopy whether the generation can go on without a new copy of the run
     */
    fun mayLeave(
        source: GenerationAttempt,
        hasCopy: Boolean = attempts.usableBackup(source) != null,
    ): Boolean {
        val waitMillis = context.waitMillis(source.replica)
        val mayLeave = (hasCopy || waitMillis == 0L) && runsLeft.reserveStop(source.replica)
        if (!mayLeave && !isHeld(source)) log.recordHeldMove(source.replica, waitMillis)
        held = source.takeIf { !mayLeave }
        return mayLeave
    }
}
