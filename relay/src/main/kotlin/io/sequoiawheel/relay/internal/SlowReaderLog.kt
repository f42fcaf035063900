package io.sequoiawheel.relay.internal

import io.sequoiawheel.relay.backend.SlowReaderReason

/** Logs and counts the connections that are closed because their callers read too slowly. */
internal class SlowReaderLog(
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
) {
    /** Records a connection with [writeBufferBytes] in its write buffer; [heldBytes] were held for all callers. */
    fun record(
        reason: SlowReaderReason,
        writeBufferBytes: Long,
        heldBytes: Long,
    ) {
        metrics.count("slow.readers.closed", reason.label)
        val fields = mapOf("reason" to reason.label, "unread" to writeBufferBytes, "heldForAll" to heldBytes)
        log.request("slow reader closed", fields)
    }
}
