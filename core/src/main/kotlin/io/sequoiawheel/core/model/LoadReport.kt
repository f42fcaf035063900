package io.sequoiawheel.core.model

import kotlinx.serialization.Serializable

/**
 * The load of a backend server as reported by itself. The report is a delayed sample: work sent later than [ageMillis]
 * before its arrival is not included. Plain services leave the token fields at zero.
 *
 * @property startId changes each time the process starts
 * @property cold whether the server considers its own weights or caches cold
 * @property memoryTokens tokens currently in the key-value cache
 * @property memoryCapacityTokens capacity of the key-value cache in tokens
 * @property running requests in the current batch, or calls being handled
 * @property waiting requests that the server queues internally, including preempted ones
 * @property preemptions preemptions since the process started
 * @property stepMillis recent mean duration of one decoding step
 * @property maximumConcurrent requests that the server can handle at once when warm
 * @property ageMillis age of the sample when it was sent
 * @property models names of the models that are loaded
 */
@Serializable
data class LoadReport(
    val startId: String,
    val cold: Boolean = false,
    val memoryTokens: Long = 0,
    val memoryCapacityTokens: Long = 0,
    val running: Int = 0,
    val waiting: Int = 0,
    val preemptions: Long = 0,
    val stepMillis: Double = 0.0,
    val maximumConcurrent: Int = 0,
    val ageMillis: Long = 0,
    val models: List<String> = emptyList(),
)
