package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName

/** The key of a length history. [kind] is the request kind given by the caller, or the model name if there is none. */
data class LengthKey(
    val service: ServiceName,
    val workspace: WorkspaceName,
    val kind: String,
)
