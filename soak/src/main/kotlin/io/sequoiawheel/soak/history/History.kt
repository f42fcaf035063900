/*
 * What callers, replicas and the operator saw during a run. Times are in milliseconds since the start of the run, on
 * one clock. The entry instances contribute nothing to it.
 */
package io.sequoiawheel.soak.history

import kotlinx.serialization.Serializable

/** Kind of a call, and the route prefix of that name. */
@Serializable
enum class CallKind(
    val route: String,
    val isRepeatable: Boolean,
    val isStream: Boolean,
) {
    SAFE("safe", isRepeatable = true, isStream = false),
    UNSAFE("unsafe", isRepeatable = false, isStream = false),
    STREAM("stream", isRepeatable = false, isStream = true),
    RESUMABLE_STREAM("resumable", isRepeatable = true, isStream = true),
}

@Serializable
enum class CallEnd {
    /** A whole response, of any status. */
    ANSWERED,

    /** The connection ended, or the bytes were no response, in the middle of the response. */
    CUT,

    /** The connection ended before the first byte of a response. */
    CLOSED,

    /** The caller left before the response was whole. */
    LEFT,

    /** The connection was closed before the request was written. */
    NOT_SENT,
}

/**
 * One attempt of a caller. [requestId] is unique in the run; [responseId] and [signature] are those of the response.
 *
 * @property strayBytes bytes that arrived on the connection after the response
 * @property parts the parts of the prompt that other calls share
 */
@Serializable
data class Call(
    val requestId: String,
    val kind: CallKind,
    val instance: String,
    val sentMillis: Long,
    val endMillis: Long,
    val end: CallEnd,
    val status: Int? = null,
    val responseId: String? = null,
    val signature: String? = null,
    val body: String = "",
    val strayBytes: Int = 0,
    val parts: List<String> = emptyList(),
)

@Serializable
enum class RunEnd { RUNNING, REFUSED, ANSWERED, CONNECTION_LOST, BROKEN_OFF, STOPPED }

/**
 * One arrival of a request at a replica; every end but [RunEnd.REFUSED] means that it ran.
 *
 * @property endMillis when the replica ceased to work on it, also where its connection ended before
 * @property status status of the replica's answer
 * @property resumedAfter the event after which a stream goes on, or null if it starts
 * @property isContinuation whether a stream goes on from a copy of the memory of a run before
 * @property notes what else happened to the run
 * @property streamEnd how its stream ended before it was whole, or null if the run ended with it
 * @property streamEndMillis when its stream ended, if [streamEnd] is not null
 */
@Serializable
data class Run(
    val requestId: String,
    val replica: String,
    val startMillis: Long,
    val endMillis: Long? = null,
    val end: RunEnd = RunEnd.RUNNING,
    val body: String = "",
    val signature: String = "",
    val status: Int = 200,
    val resumedAfter: Int? = null,
    val isContinuation: Boolean = false,
    val notes: List<String> = emptyList(),
    val streamEnd: RunEnd? = null,
    val streamEndMillis: Long? = null,
) {
    /** What ended first: the stream, or the work on the run with its stream. */
    val firstEnd: RunEnd get() = streamEnd ?: end

    val hasRun: Boolean get() = end != RunEnd.REFUSED
}

/** Something that was done to an instance, a replica, a path or the store, named by [target]. */
@Serializable
data class Disturbance(
    val kind: DisturbanceKind,
    val target: String,
    val fromMillis: Long,
    val toMillis: Long,
)

@Serializable
enum class DisturbanceKind {
    SHUTDOWN,
    KILL,
    PAUSE,
    RELOAD,

    /** Bytes between callers and the instance [Disturbance.target] were lost or held back. */
    CALLER_PATH,

    /** Bytes between instances and the replica [Disturbance.target] were lost or held back. */
    REPLICA_PATH,
    STORE,
    REPLICA_CRASH,
    ODD_ENTRY,

    /** All replicas refused each request once. */
    REFUSALS,
}

/** The store acknowledged at [acknowledgedMillis] that [replica] is leaving. */
@Serializable
data class Departure(
    val replica: String,
    val acknowledgedMillis: Long,
)

/** [replica] crashed on [part] of a prompt. */
@Serializable
data class PartCrash(
    val part: String,
    val replica: String,
    val atMillis: Long,
)

/** A fault of an instance as a process: it ended unasked, did not become ready, or did not follow the store. */
@Serializable
data class InstanceFault(
    val instance: String,
    val atMillis: Long,
    val detail: String,
)

/** @property secondAnswers number of answers that replicas wrote after one that was complete */
@Serializable
data class History(
    val calls: List<Call>,
    val runs: List<Run>,
    val disturbances: List<Disturbance> = emptyList(),
    val departures: List<Departure> = emptyList(),
    val instanceFaults: List<InstanceFault> = emptyList(),
    val partCrashes: List<PartCrash> = emptyList(),
    val secondAnswers: Int = 0,
)
