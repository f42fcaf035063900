package io.sequoiawheel.standin.weight

import kotlinx.serialization.Serializable

/**
 * @property port port of the HTTP server, or 0
 * @property loadsPerMinute sustained rate of loads
 * @property burst loads that may start at once after a quiet period
 */
@Serializable
data class WeightStoreSettings(
    val port: Int = 0,
    val loadsPerMinute: Double = 12.0,
    val burst: Int = 2,
)
