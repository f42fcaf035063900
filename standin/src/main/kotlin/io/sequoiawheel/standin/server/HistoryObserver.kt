package io.sequoiawheel.standin.server

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.HistoryRecorder
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId

/**
 * Records what [replica] does in a history. Entry instances send `<request id>.<attempt id>`; the history names the
 * request, while the runs of tokens keep the whole id.
 */
class HistoryObserver(
    private val recorder: HistoryRecorder,
    private val replica: InstanceId,
    private val clock: Clock,
) : BackendObserver {
    override fun onArrival(request: RequestId) =
        recorder.record(HistoryEvent.Dispatched(clock.nowMillis(), original(request), UNKNOWN_ENTRY, replica))

    override fun onStart(request: RequestId) =
        recorder.record(HistoryEvent.RunStarted(clock.nowMillis(), original(request), replica))

    override fun onEnd(
        request: RequestId,
        answer: String?,
    ) = recorder.record(HistoryEvent.RunEnded(clock.nowMillis(), original(request), replica, answer))

    override fun onToken(
        generation: RequestId,
        offset: Int,
        text: String,
    ) = recorder.record(HistoryEvent.TokenProduced(clock.nowMillis(), generation.value, offset, text))

    override fun onDeath() = recorder.record(HistoryEvent.ReplicaLost(clock.nowMillis(), replica))

    companion object {
        /** A backend server does not know which entry instance sent the work. */
        val UNKNOWN_ENTRY = InstanceId("unknown")

        /** Returns the caller's request id in the id that a backend server received. */
        fun original(request: RequestId): RequestId = RequestId(request.value.substringBeforeLast('.'))
    }
}
