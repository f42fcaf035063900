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
