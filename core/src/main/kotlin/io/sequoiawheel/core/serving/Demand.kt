package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.WorkspaceName

/**
 * The parameters of one request that determine its placement and execution.
 *
 * @property requestKind the kind given by the caller, or the name of the call; output lengths are learned per kind
 * @property promptTokens estimated tokens of the prompt, 0 for plain calls
 * @property maximumTokens output limit in tokens, 0 for plain calls
 * @property deadlineMillis time on the monotonic clock by which the request must end
 */
data class Demand(
    val requestId: RequestId,
    val workspace: WorkspaceName,
    val document: ServiceDocument,
    val requestKind: String,
    val deadlineMillis: Long,
    val model: String? = null,
    val adapter: String? = null,
    val prompt: String = "",
    val promptTokens: Int = 0,
    val maximumTokens: Int = 0,
    val priority: Int = 0,
)
