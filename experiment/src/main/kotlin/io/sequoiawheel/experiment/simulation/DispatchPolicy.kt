package io.sequoiawheel.experiment.simulation

import io.sequoiawheel.core.model.Failure

/**
 * Decides how the entry instances of a service dispatch requests to replicas. One object represents all entry
 * instances; it must keep separate state per entry instance and simulate the delay of messages between them.
 */
interface DispatchPolicy {
    /** The name in reports. */
    val name: String

    /** Called once before the run. */
    fun start(service: SimulatedService)

    /** Places a request that has arrived at its entry instance or was returned there by a replica. */
    fun place(request: SimulatedRequest)

    /** Called when a dispatched request has ended; its replica's memory is free again. */
    fun onEnded(request: SimulatedRequest) = Unit

    /** Called when a replica rejected the request or lost it before its first token; [place] follows. */
    fun onReturned(
        request: SimulatedRequest,
        failure: Failure,
    ) = Unit
}
