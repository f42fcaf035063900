/*
 * Where the run of one generation may be at work, and whether the generation may go on elsewhere. A replica works on a
 * run from the moment at which the request is sent until an answer proves the end of the run, whether or not its stream
 * is read. A generation that goes on beside such a replica occupies two of them, so each way to go on is decided here:
 * by why the stream was left, or is to be left, by what the replica has answered to the stop of its run, and by how the
 * generation would go on.
 */
package io.sequoiawheel.core.relay

/**
 * Why the stream of a run was left, or is to be left.
 *
 * @property isRead whether the stream is still read, so that the generation can stay
 */
enum class LeaveCause(
    val isRead: Boolean,
) {
    /** The replica leaves, or the runs there are to move to a new version. */
    NOTICE(isRead = true),

    /** The stream has delivered no event for too long. */
    STALL(isRead = true),

    /** The connection closed, or the stream does not continue the response. */
    BREAK(isRead = false),
}

/** How a generation can go on at another replica. */
enum class Continuation {
    /** From the copy that a replica keeps of the run while it grows. */
    BACKUP,

    /** From a copy that was made for the move. */
    COPY,

    /** By another attempt, after the events that were delivered. */
    NEW_ATTEMPT,

    /** Not at all. */
    NONE,
}

/** What a generation does next. */
enum class RunDecision {
    /** It goes on at another replica, and the run that it leaves is stopped if its end is not proven. */
    GO_ON,

    /** It stays where it is, or waits for the end of the run that it left. */
    WAIT,

    /** It ends, or the newest of two attempts does. */
    STOP,
}

/**
 * Keeps the places at which the run of one generation may be at work although nothing reads its stream. Confined to one
 * thread.
 *
 * @param P identifies a place, as a replica does
 */
class RunPlaces<P : Any> {
    /**
     * A run whose stream was left.
     *
     * @property hasStarted whether its response had begun
     */
    class Unread(
        val hasStarted: Boolean,
        val leftAtMillis: Long,
    )

    private val unread = LinkedHashMap<P, Unread>()

    /** All places that may have run the generation, in the order in which they were left or taken. */
    private val involved = LinkedHashSet<P>()
    private var givenUp = 0

    /** The places whose run may be at work and is not being stopped yet, in the order in which they were left. */
    val unstopped: List<P> get() = unread.keys.toList()

    /** Whether the stream at [place] was left and its run is not being stopped yet. */
    operator fun contains(place: P): Boolean = place in unread

    /** Records that [place] may have run the generation. */
    fun involve(place: P) {
        involved += place
    }

    /**
     * Records that the stream at [place] is not read any more, while its run may be at work.
     *
     * @param hasStarted whether the response of the run had begun
     */
    fun leave(
        place: P,
        hasStarted: Boolean,
        nowMillis: Long,
    ) {
        involved += place
        unread[place] = Unread(hasStarted, nowMillis)
    }

    /** Records that the run at [place] ended, or that it is being stopped. */
    fun settle(place: P) {
        unread.remove(place)
    }

    /** Returns the run at [place] if its stream was left and it is not being stopped yet, or null. */
    fun unread(place: P): Unread? = unread[place]

    /** Returns the place that was involved last beside [place], or null if there is none. */
    fun lastOther(place: P): P? = involved.lastOrNull { it != place }

    /**
     * Decides whether the generation goes on elsewhere.
     *
     * @param answer the answer to the stop of the run; [StopAnswer.HELD_BACK] also if the stop could not be reserved,
     *   null if the replica was not asked yet, or accepts no connection
     * @param waitedMillis how long the generation has waited for the end of the run
     */
    fun decide(
        cause: LeaveCause,
        answer: StopAnswer?,
        continuation: Continuation,
        waitedMillis: Long,
    ): RunDecision =
        when {
            cause.isRead -> decideWhileRead(answer, continuation)
            continuation == Continuation.NONE -> RunDecision.STOP
            waitedMillis >= MAXIMUM_WAIT_MILLIS -> if (answer.isHeldBack) RunDecision.STOP else RunDecision.GO_ON
            answer in UNSETTLED -> RunDecision.WAIT
            else -> RunDecision.GO_ON
        }

    /** A planned move does not interrupt the stream, so the run is stopped after it, if its stop is reserved. */
    private fun decideWhileRead(
        answer: StopAnswer?,
        continuation: Continuation,
    ) = if (continuation == Continuation.NONE || answer.isHeldBack) RunDecision.WAIT else RunDecision.GO_ON

    /**
     * Decides about the newest attempt, which was sent [sinceSendMillis] ago and has no response head yet: whether it
     * alone goes on, or is given up. The replica may work on it long before its head arrives. A source whose stream
     * makes progress is kept, so that a replica without a response does not cost the stream.
     *
     * @param isSourceInProgress whether the stream of another replica is read and makes progress
     * @param mayStopNewest whether the replica of the newest attempt would accept its stop
     */
    fun decideLateHead(
        sinceSendMillis: Long,
        isSourceInProgress: Boolean,
        mayStopNewest: () -> Boolean = { true },
    ): RunDecision =
        when {
            sinceSendMillis < LATE_HEAD_MILLIS -> RunDecision.WAIT
            !isSourceInProgress -> RunDecision.GO_ON
            givenUp == MAXIMUM_GIVEN_UP -> RunDecision.WAIT
            !mayStopNewest() -> RunDecision.GO_ON
            else -> RunDecision.STOP.also { givenUp++ }
        }

    private val StopAnswer?.isHeldBack get() = this == StopAnswer.HELD_BACK

    companion object {
        /** Answers of a replica that may work on the run, and may soon be asked with success. */
        private val UNSETTLED = setOf(StopAnswer.REFUSED, StopAnswer.NO_RESPONSE, StopAnswer.HELD_BACK)

        /** A caller waits for the next event for several times its objective; a longer pause would lose it. */
        const val MAXIMUM_WAIT_MILLIS = 3_000L

        /** With the time until a run is stopped, less than 400 ms, the longest overlap of two runs. */
        const val LATE_HEAD_MILLIS = 220L

        /** The source of a planned move has time for about three attempts before it exits. */
        private const val MAXIMUM_GIVEN_UP = 2
    }
}
