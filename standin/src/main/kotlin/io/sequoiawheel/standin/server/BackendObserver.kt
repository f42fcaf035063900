package io.sequoiawheel.standin.server

import io.sequoiawheel.core.model.RequestId

/** Is told what one backend server does, so that a run can be checked afterwards. Implementations are thread-safe. */
interface BackendObserver {
    /** New work for [request] arrived, whether or not it is taken. */
    fun onArrival(request: RequestId) = Unit

    /** The work of [request] starts. */
    fun onStart(request: RequestId) = Unit

    /** The work of [request] ended, with [answer] if there is one. */
    fun onEnd(
        request: RequestId,
        answer: String?,
    ) = Unit

    /** The token at [offset] of [generation] exists. */
    fun onToken(
        generation: RequestId,
        offset: Int,
        text: String,
    ) = Unit

    /** The process ended with its work. */
    fun onDeath() = Unit

    /** Observes nothing. */
    companion object None : BackendObserver
}
