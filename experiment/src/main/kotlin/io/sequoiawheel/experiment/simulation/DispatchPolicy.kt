package io.sequoiawheel.experiment.simulation

import io.sequoiawheel.core.model.Failure

/**
 * How the entry instances of a service hand requests to replicas. One object stands for all entry instances; it must
 * keep what it learns apart per entry instance, and account for the delay of what they tell each other.
 */
interface DispatchPolicy {
    /** The name in reports. */
    val name: String

    /** Called once before the run. */
    fun start(service: SimulatedService)

    /** A request has reached its entry instance, or is back there because a replica did not take it. */
    fun place(request: SimulatedRequest)

    /** A request has ended after it was dispatched; its replica's memory is free again. */
    fun ended(request: SimulatedRequest) = Unit

    /** A replica did not take the request, or lost it before its first token; [place] follows. */
    fun returned(
        request: SimulatedRequest,
        failure: Failure,
    ) = Unit
}
