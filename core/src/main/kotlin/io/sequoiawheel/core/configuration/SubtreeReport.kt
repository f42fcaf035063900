package io.sequoiawheel.core.configuration

import io.sequoiawheel.core.model.ServiceName
import kotlinx.serialization.Serializable

/**
 * The generations in force in a subtree of a zone's relay tree.
 *
 * @property instances number of instances that reported, the sender included
 * @property lowest the lowest generation in force by service; a missing service counts as 0
 */
@Serializable
data class SubtreeReport(
    val instances: Int,
    val lowest: Map<ServiceName, Long>,
) {
    /** Returns the combination of this report and [other]. */
    operator fun plus(other: SubtreeReport): SubtreeReport {
        val services = lowest.keys + other.lowest.keys
        return SubtreeReport(
            instances + other.instances,
            services.associateWith { minOf(lowest[it] ?: 0, other.lowest[it] ?: 0) },
        )
    }
}
