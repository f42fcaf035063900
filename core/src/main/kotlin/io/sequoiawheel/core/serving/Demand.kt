package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.WorkspaceName

/**
 * What one request asks of the replicas of a service.
 *
 * @property requestKind the kind that the caller named, or the call's name; lengths are learned per kind
 * @property promptTokens estimated tokens of the prompt, 0 for plain calls
 * @property maximumTokens output limit in tokens, 0 for plain calls
 * @property deadlineMillis reading of the monotonic clock by which the request must end
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
