package io.sequoiawheel.standin.server

import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.HistoryRecorder
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId

/**
 * Records the events of [replica] in a history. Entry instances send ids of the form `<request id>.<attempt id>`.
 * Request events are recorded under the request id; token events keep the full id.
 */
class HistoryObserver(
    private val recorder: HistoryRecorder,
    private val replica: InstanceId,
    private val clock: Clock,
) : BackendObserver {
    override fun onArrival(request: RequestId) =
        recorder.record(HistoryEvent.Dispatched(clock.nowMillis(), originalRequestId(request), UNKNOWN_ENTRY, replica))

    override fun onStart(request: RequestId) =
        recorder.record(HistoryEvent.RunStarted(clock.nowMillis(), originalRequestId(request), replica))

    override fun onEnd(
        request: RequestId,
        answer: String?,
    ) = recorder.record(HistoryEvent.RunEnded(clock.nowMillis(), originalRequestId(request), replica, answer))

    override fun onToken(
        generation: RequestId,
        offset: Int,
        text: String,
    ) = recorder.record(HistoryEvent.TokenProduced(clock.nowMillis(), generation.value, offset, text))

    override fun onProcessEnd() = recorder.record(HistoryEvent.ReplicaLost(clock.nowMillis(), replica))

    companion object {
        /** Placeholder, because a backend server does not know which entry instance sent a request. */
        val UNKNOWN_ENTRY = InstanceId("unknown")

        /** Returns the client's request id contained in the id that a backend server received. */
        fun originalRequestId(request: RequestId): RequestId = RequestId(request.value.substringBeforeLast('.'))
    }
}
