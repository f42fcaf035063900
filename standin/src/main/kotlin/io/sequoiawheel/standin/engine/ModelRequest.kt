package io.sequoiawheel.standin.engine

import io.sequoiawheel.core.model.RequestId

/**
 * One generation as the engine sees it.
 *
 * @property kind selects the distribution of the output length; callers do not know the length
 * @property promptTokens length of the prompt
 * @property maximumTokens limit of the output
 * @property priority higher values are served first and preempted last
 * @property promptBlocks hash chain of the prompt's full blocks; empty if the prompt shares no prefix
 */
data class ModelRequest(
    val generation: RequestId,
    val model: String,
    val kind: String,
    val promptTokens: Int,
    val maximumTokens: Int,
    val priority: Int = 0,
    val promptBlocks: List<Long> = emptyList(),
)
