package io.sequoiawheel.experiment.policy

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.experiment.simulation.DispatchPolicy
import io.sequoiawheel.experiment.simulation.SimulatedReplica
import io.sequoiawheel.experiment.simulation.SimulatedRequest
import io.sequoiawheel.experiment.simulation.SimulatedService

/** Base class of the baselines: dispatches every request immediately, so that excess requests queue at the replicas. */
abstract class ImmediatePolicy : DispatchPolicy {
    /** The service of this run. */
    protected lateinit var service: SimulatedService
        private set

    /** Chooses one of [replicas], which is not empty. */
    protected abstract fun choose(
        request: SimulatedRequest,
        replicas: List<SimulatedReplica>,
    ): SimulatedReplica

    /** Called before each dispatch. */
    protected open fun onDispatch(
        request: SimulatedRequest,
        replica: SimulatedReplica,
    ) = Unit

    override fun start(service: SimulatedService) {
        this.service = service
    }

    override fun place(request: SimulatedRequest) {
        val replicas = service.eligibleReplicas()
        if (replicas.isEmpty()) return service.refuse(request, Failure(ResultCode.NO_REPLICA))
        val replica = choose(request, replicas)
        onDispatch(request, replica)
        service.dispatch(request, replica)
    }
}
