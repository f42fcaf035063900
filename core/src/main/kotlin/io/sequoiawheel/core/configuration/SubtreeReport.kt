package io.sequoiawheel.core.configuration

import io.sequoiawheel.core.model.ServiceName
import kotlinx.serialization.Serializable

/**
 * What is in force in one part of a zone's tree.
 *
 * @property instances how many instances reported, the sender included
 * @property lowest the lowest generation in force by service; an absent service counts as 0
 */
@Serializable
data class SubtreeReport(
    val instances: Int,
    val lowest: Map<ServiceName, Long>,
) {
    /** Returns the report of this part and [other] together. */
    operator fun plus(other: SubtreeReport): SubtreeReport {
        val services = lowest.keys + other.lowest.keys
        return SubtreeReport(
            instances + other.instances,
            services.associateWith { minOf(lowest[it] ?: 0, other.lowest[it] ?: 0) },
        )
    }
}
