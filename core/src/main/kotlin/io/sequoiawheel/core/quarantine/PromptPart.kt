package io.sequoiawheel.core.quarantine

import kotlinx.serialization.Serializable

/** A part of a prompt that requests share, by its id. */
@Serializable
@JvmInline
value class PromptPart(
    val id: String,
) {
    override fun toString(): String = id
}

/**
 * One run of a replica's process.
 *
 * @property startedAtMillis start time in Unix milliseconds, or null if the replica does not state it
 */
data class Incarnation(
    val replica: String,
    val startedAtMillis: Long?,
)
