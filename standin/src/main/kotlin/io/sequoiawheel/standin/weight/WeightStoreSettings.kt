package io.sequoiawheel.standin.weight

import kotlinx.serialization.Serializable

/**
 * @property port port of the HTTP server, or 0 for any free port
 * @property loadsPerMinute sustained number of loads per minute
 * @property burst maximum number of loads that can start at once after an idle period
 */
@Serializable
data class WeightStoreSettings(
    val port: Int = 0,
    val loadsPerMinute: Double = 12.0,
    val burst: Int = 2,
)
