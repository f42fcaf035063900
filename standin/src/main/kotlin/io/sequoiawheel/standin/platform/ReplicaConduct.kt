/*
 * What replicas do with the requests that they receive, and how they report it.
 */
package io.sequoiawheel.standin.platform

/** What a replica does with the requests that it receives; the defaults leave it sound. */
data class ReplicaConduct(
    /** Refuses the first arrival of each request. */
    val refusesFirst: Boolean = false,
    /**
     * Writes such a refusal once more, [repeatMillis] later, on the same connection, unless a response is being written
     * there.
     */
    val repeatsRefusals: Boolean = false,
    /** Resets the connection of every stream in the middle of an event. */
    val breaksStreams: Boolean = false,
    /** Answers a stream that is resumed with an unsigned error. */
    val failsResumed: Boolean = false,
    val workMillis: Long = 30,
    val repeatMillis: Long = 60,
    /** Share of the requests that are answered with a signed 500. */
    val failurePercent: Int = 0,
    /** Share of the refusals among the answers to requests. */
    val refusalPercent: Int = 0,
    /** Share of the answers that are followed by further ones on the same connection. */
    val secondAnswerPercent: Int = 0,
    /** Works on after the connection of a stream closed or was reset, and is slow or unwilling to stop. */
    val isStubborn: Boolean = false,
    /** How a stubborn replica is stopped, or null for a way that is drawn for each run. */
    val stopConduct: StopConduct? = null,
)

/**
 * A request that a replica began to run.
 *
 * @property body the body of the answer, or of what a stream would be answered with outside of its events
 * @property resumedAfter the event after which the stream goes on, or null if it starts
 * @property isContinuation whether the run goes on from a copy of its memory
 */
class RunStart(
    val requestId: String,
    val body: String,
    val signature: String,
    val status: Int,
    val resumedAfter: Int? = null,
    val isContinuation: Boolean = false,
)

/** Receives what a replica did with each request. */
interface RunObserver {
    /** The replica refused the request without running it. */
    fun onRefused(requestId: String)

    fun onStarted(start: RunStart): RunRecord

    /** The replica wrote [count] further answers after one. */
    fun onSecondAnswers(count: Int)
}

/** The record of one run. */
interface RunRecord {
    /** Adds a remark on what happened to the run. */
    fun note(text: String)

    /** The stream ended before it was whole, while the replica may work on. Only the first call counts. */
    fun endStream(result: RunResult)

    /** The replica works on the run no longer. Only the first call counts. */
    fun end(result: RunResult)
}

enum class RunResult { ANSWERED, CONNECTION_LOST, BROKEN_OFF, STOPPED }
