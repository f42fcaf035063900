package io.sequoiawheel.core.lease

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * The value of a lease object.
 *
 * @property fencing rises by one with each change of the holder
 * @property termMillis how long the holder may act after a renewal; 0 once the holder resigned
 * @property renewal counts renewals, so that a read-back can tell which of several lost ones took effect
 */
@Serializable
data class LeaseRecord(
    val holder: String,
    val fencing: Long,
    val termMillis: Long,
    val renewal: Long = 0,
) {
    internal fun encode(): String = json.encodeToString(serializer(), this)

    internal companion object {
        private val json = Json { ignoreUnknownKeys = true }

        fun decode(text: String): LeaseRecord = json.decodeFromString(serializer(), text)
    }
}
