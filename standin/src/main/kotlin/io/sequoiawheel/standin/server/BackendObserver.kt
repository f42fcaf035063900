package io.sequoiawheel.standin.server

import io.sequoiawheel.core.model.RequestId

/**
 * Receives the events of one backend server, so that a run can be checked afterwards. Implementations are thread-safe.
 */
interface BackendObserver {
    /** Called when [request] arrives, whether or not it is accepted. */
    fun onArrival(request: RequestId) = Unit

    /** Called when the server starts to process [request]. */
    fun onStart(request: RequestId) = Unit

    /** Called when the processing of [request] ends, with its [answer] if there is one. */
    fun onEnd(
        request: RequestId,
        answer: String?,
    ) = Unit

    /** Called when the token at [offset] of [generation] was produced. */
    fun onToken(
        generation: RequestId,
        offset: Int,
        text: String,
    ) = Unit

    /** Called when the process ends; its unfinished work is lost. */
    fun onProcessEnd() = Unit

    /** Ignores all events. */
    companion object None : BackendObserver
}
