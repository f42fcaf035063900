package io.sequoiawheel.experiment.simulation

import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.standin.engine.ModelRequest

/**
 * A request that arrives from a caller.
 *
 * @property atMillis arrival time at an entry instance
 * @property entry index of the entry instance that the load balancer chose
 * @property kind the caller's request kind; the engine's kind, which determines the output length, is in [request]
 */
class Arrival(
    val atMillis: Double,
    val entry: Int,
    val workspace: WorkspaceName,
    val kind: String,
    val request: ModelRequest,
)
