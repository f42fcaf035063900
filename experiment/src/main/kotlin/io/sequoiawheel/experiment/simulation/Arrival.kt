package io.sequoiawheel.experiment.simulation

import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.standin.engine.ModelRequest

/**
 * One request as a caller sends it.
 *
 * @property atMillis when it reaches an entry instance
 * @property entry index of the entry instance that the load balancer picks
 * @property kind the caller's word for it; the engine's kind, which decides the length, is in [request]
 */
class Arrival(
    val atMillis: Double,
    val entry: Int,
    val workspace: WorkspaceName,
    val kind: String,
    val request: ModelRequest,
)
