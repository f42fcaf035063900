package io.sequoiawheel.core.configuration

import kotlinx.serialization.Serializable

/**
 * One accepted change of a service.
 *
 * @property author who made the change, from the document
 * @property acceptedBy the instance that accepted it
 * @property atEpochMillis wall-clock time of the acceptance
 * @property changes the fields that differ from the previous generation, as `path: old -> new`
 * @property verdict `accepted`, or `deleted` for a tombstone
 */
@Serializable
data class AuditEntry(
    val generation: Long,
    val documentVersion: Long,
    val author: String,
    val acceptedBy: String,
    val atEpochMillis: Long,
    val changes: List<String>,
    val verdict: String,
)
