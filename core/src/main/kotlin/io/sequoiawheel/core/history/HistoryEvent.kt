/*
 * The recorded events of a concurrent run, from callers, entry instances, backend servers and operators. Each type
 * states who records it, so that no component is the only source for its own correctness: the backend server records a
 * run, the caller records a delivered token.
 */
package io.sequoiawheel.core.history

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import kotlinx.serialization.Serializable

/** One event; the [atMillis] of all events of a history come from the same clock. */
@Serializable
sealed interface HistoryEvent {
    val atMillis: Long

    /** A caller sends a request. [key] identifies a non-idempotent call across its requests, else null. */
    @Serializable
    data class CallStarted(
        override val atMillis: Long,
        val request: RequestId,
        val key: String? = null,
    ) : HistoryEvent

    /** An entry instance accepted a request. */
    @Serializable
    data class CallAccepted(
        override val atMillis: Long,
        val request: RequestId,
        val entry: InstanceId,
    ) : HistoryEvent

    /** A caller received its final answer. [tokens] is the stated length of a complete generation. */
    @Serializable
    data class CallEnded(
        override val atMillis: Long,
        val request: RequestId,
        val code: ResultCode,
        val answer: String? = null,
        val tokens: Int? = null,
    ) : HistoryEvent

    /** A caller's connection ended without a final answer. */
    @Serializable
    data class CallLost(
        override val atMillis: Long,
        val request: RequestId,
    ) : HistoryEvent

    /** A caller received a token. [run] identifies the generation that the token came from. */
    @Serializable
    data class TokenDelivered(
        override val atMillis: Long,
        val request: RequestId,
        val run: String,
        val offset: Int,
        val text: String,
    ) : HistoryEvent

    /** An entry instance sends new work to a replica; resuming a stream is not new work. */
    @Serializable
    data class Dispatched(
        override val atMillis: Long,
        val request: RequestId,
        val entry: InstanceId,
        val replica: InstanceId,
    ) : HistoryEvent

    /** A backend server begins to run a request. */
    @Serializable
    data class RunStarted(
        override val atMillis: Long,
        val request: RequestId,
        val replica: InstanceId,
    ) : HistoryEvent

    /** A backend server has finished, or stopped, running a request. [answer] is null if there is none. */
    @Serializable
    data class RunEnded(
        override val atMillis: Long,
        val request: RequestId,
        val replica: InstanceId,
        val answer: String? = null,
    ) : HistoryEvent

    /** An engine produced a token of the generation [run]. */
    @Serializable
    data class TokenProduced(
        override val atMillis: Long,
        val run: String,
        val offset: Int,
        val text: String,
    ) : HistoryEvent

    /** A claim was decided at an entry instance: [outcome] is `granted`, `recorded` or the name of a result code. */
    @Serializable
    data class ClaimDecided(
        override val atMillis: Long,
        val request: RequestId,
        val entry: InstanceId,
        val key: String,
        val outcome: String,
    ) : HistoryEvent

    /** A replica exists in [zone] and can handle [concurrent] requests at once; null means no limit. */
    @Serializable
    data class ReplicaCapacity(
        override val atMillis: Long,
        val replica: InstanceId,
        val service: ServiceName,
        val zone: ZoneName,
        val concurrent: Int? = null,
    ) : HistoryEvent

    /** A replica is marked as leaving in the instance list. */
    @Serializable
    data class ReplicaLeaving(
        override val atMillis: Long,
        val replica: InstanceId,
    ) : HistoryEvent

    /** A replica died or was cut off, with the work on it. */
    @Serializable
    data class ReplicaLost(
        override val atMillis: Long,
        val replica: InstanceId,
    ) : HistoryEvent

    /** Operators took [zone] out of [service] or returned it; the time is that of the acceptance. */
    @Serializable
    data class ZoneChanged(
        override val atMillis: Long,
        val service: ServiceName,
        val zone: ZoneName,
        val isOut: Boolean,
    ) : HistoryEvent

    /** An entry instance starts to serve, or is connected to peers or the platform again after being isolated. */
    @Serializable
    data class EntryConnected(
        override val atMillis: Long,
        val entry: InstanceId,
    ) : HistoryEvent

    /** An entry instance died, or is cut off from every peer and from the platform. */
    @Serializable
    data class EntryDisconnected(
        override val atMillis: Long,
        val entry: InstanceId,
    ) : HistoryEvent

    /** An entry instance begins a graceful shutdown. */
    @Serializable
    data class ShutdownStarted(
        override val atMillis: Long,
        val entry: InstanceId,
    ) : HistoryEvent

    /** The process of an entry instance ended after a graceful shutdown. */
    @Serializable
    data class ShutdownFinished(
        override val atMillis: Long,
        val entry: InstanceId,
        val exitCode: Int,
    ) : HistoryEvent

    /** A newly accepted generation was stored in the object API. */
    @Serializable
    data class DocumentAccepted(
        override val atMillis: Long,
        val service: ServiceName,
        val generation: Long,
        val documentVersion: Long,
    ) : HistoryEvent

    /** An entry instance put a generation in force. */
    @Serializable
    data class DocumentApplied(
        override val atMillis: Long,
        val entry: InstanceId,
        val service: ServiceName,
        val generation: Long,
    ) : HistoryEvent

    /** The audit trail of a service was read at the end of the run; [generations] are those that it contains. */
    @Serializable
    data class AuditRead(
        override val atMillis: Long,
        val service: ServiceName,
        val generations: List<Long>,
    ) : HistoryEvent
}
