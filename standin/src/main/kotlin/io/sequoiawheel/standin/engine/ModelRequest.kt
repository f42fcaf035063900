package io.sequoiawheel.standin.engine

import io.sequoiawheel.core.model.RequestId

/**
 * A request for one generation.
 *
 * @property kind selects the distribution of the output length, which clients do not know
 * @property promptTokens length of the prompt in tokens
 * @property maximumTokens maximum length of the output in tokens
 * @property priority requests with higher values are served first and preempted last
 * @property promptBlocks hash chain of the full blocks of the prompt; empty if it shares no prefix
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
