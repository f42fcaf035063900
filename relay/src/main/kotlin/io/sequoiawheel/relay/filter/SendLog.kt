/*
 * The sends of one request, for the line of its end. The records are objects that already exist or a few fields; they
 * are turned into text and maps only if the line is written.
 */
package io.sequoiawheel.relay.filter

import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.relay.backend.ConnectionSend
import io.sequoiawheel.relay.backend.ConnectionTrace
import io.sequoiawheel.relay.backend.SkippedResponse

/**
 * One send of a request.
 *
 * @property purpose label of the purpose
 * @property cause why it was sent again, or null for the first send
 */
internal class SendRecord(
    private val replica: Replica,
    private val purpose: String,
    private val cause: String?,
    private val send: ConnectionSend,
) {
    /** Whether the stream of the run was not read to its end, and the generation went on elsewhere or may do so. */
    var isLeft = false

    val isUnusual: Boolean get() = isLeft || send.skippedCount > 0 || send.status !in SUCCESS

    fun fields(): Map<String, Any?> =
        buildMap {
            put("replica", replica.toString())
            put("purpose", purpose)
            cause?.let { put("cause", it.take(MAXIMUM_TEXT)) }
            put("connection", send.connection)
            put("carried", send.carried)
            put("idleBytes", send.idleBytes)
            send.status?.let {
                put("status", it)
                put("signed", send.isSigned)
                put("own", send.isOwn)
                put("milliseconds", send.millis)
            }
            if (send.skippedCount > 0) {
                put("skipped", send.skipped.map(::fieldsOf))
                put("skippedResponses", send.skippedCount)
            }
            if (isLeft) put("left", true)
        }

    private fun fieldsOf(skipped: SkippedResponse) =
        mapOf(
            "reason" to skipped.reason.label,
            "status" to skipped.status,
            "request" to skipped.requestId?.take(MAXIMUM_TEXT),
        )

    private companion object {
        val SUCCESS = 200..299

        /** Characters of a text in a record. */
        const val MAXIMUM_TEXT = 128
    }
}

/** The sends of one request in their order; the first ones are described, the others counted by the request. */
internal class SendLog {
    private val records = ArrayList<SendRecord>(1)
    private var cause: String? = null

    /** Whether the sends are more than a single one that succeeded without incident. */
    val isUnusual: Boolean get() = records.size > 1 || cause != null || records.any { it.isUnusual }

    /** Sets why the next send is made. */
    fun resendBecause(cause: String) {
        this.cause = cause
    }

    /** Returns why the next send is made, and forgets it. */
    fun takeCause(): String? = cause.also { cause = null }

    /** Records the send in progress on [connection], and returns its record. */
    fun add(
        replica: Replica,
        purpose: String,
        cause: String?,
        connection: ConnectionTrace,
    ): SendRecord {
        val record = SendRecord(replica, purpose, cause, checkNotNull(connection.send))
        if (records.size < MAXIMUM_RECORDS) records += record
        return record
    }

    fun fields(): List<Map<String, Any?>>? = records.takeIf { it.isNotEmpty() }?.map { it.fields() }

    private companion object {
        /** Sends that are described. */
        const val MAXIMUM_RECORDS = 16
    }
}
