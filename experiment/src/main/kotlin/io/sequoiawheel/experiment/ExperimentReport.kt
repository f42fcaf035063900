package io.sequoiawheel.experiment

import kotlinx.serialization.Serializable

/**
 * The results of one experiment.
 *
 * @property policies figures by policy name; the system's own policy is named [OWN_POLICY]. Names of figures end in
 *   their unit, such as `stallP99Millis`
 * @property violations descriptions of broken promises; empty if all held
 */
@Serializable
data class ExperimentReport(
    val experiment: String,
    val seed: Long,
    val parameters: Map<String, Double> = emptyMap(),
    val policies: Map<String, Map<String, Double>>,
    val violations: List<String> = emptyList(),
) {
    companion object {
        /** The name of the system's own policy in every report. */
        const val OWN_POLICY = "sequoiawheel"
    }
}
