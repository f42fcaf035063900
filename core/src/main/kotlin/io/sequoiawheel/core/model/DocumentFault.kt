package io.sequoiawheel.core.model

import kotlinx.serialization.Serializable

/**
 * One fault of a service document.
 *
 * @property path the JSON path of the field, such as `$.calls[0].hedgeAfterMillis`
 * @property problem what is wrong and what is allowed
 */
@Serializable
data class DocumentFault(
    val path: String,
    val problem: String,
) {
    companion object {
        private val pathPattern = Regex("""at path:? (\$[^\s:]*)""")

        /** Returns the fault for a text that failed to parse with [error]. */
        fun ofParseError(error: Exception): DocumentFault {
            val message = error.message.orEmpty()
            val path = pathPattern.find(message)?.groupValues?.get(1) ?: "$"
            return DocumentFault(path, message.lineSequence().first())
        }
    }
}
