package io.sequoiawheel.core.admission

import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName

/** What output lengths are learned for. [kind] is the caller's own word, or the model's name if there is none. */
data class LengthKey(
    val service: ServiceName,
    val workspace: WorkspaceName,
    val kind: String,
)
