package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.DeliveryDecision
import io.sequoiawheel.core.relay.ReplicaStream
import io.sequoiawheel.core.relay.StreamEvent
import java.io.ByteArrayOutputStream

/** What is delivered of [events], which one replica sent in succession: all up to the first that is rejected. */
internal class EventBatch(
    stream: ReplicaStream,
    events: List<StreamEvent>,
) {
    /** Number of events to deliver. */
    val delivered: Int

    /** The bytes of the events to deliver. */
    val bytes: ByteArray

    /** Whether a numbered event is among those to deliver. */
    val hasProgress: Boolean

    /** Why the stream cannot be continued with the next event, or null. */
    val rejected: String?

    init {
        val output = ByteArrayOutputStream()
        var count = 0
        var isNumbered = false
        var reason: String? = null
        for (event in events) {
            when (val decision = stream.decide(event)) {
                DeliveryDecision.DELIVER -> {
                    output.writeBytes(event.bytes)
                    count++
                    isNumbered = isNumbered || event.id != null
                }

                DeliveryDecision.SKIP -> Unit
                DeliveryDecision.GAP, DeliveryDecision.INVALID -> reason = "$decision: event ${event.id}"
            }
            if (reason != null) break
        }
        delivered = count
        bytes = output.toByteArray()
        hasProgress = isNumbered
        rejected = reason
    }
}
