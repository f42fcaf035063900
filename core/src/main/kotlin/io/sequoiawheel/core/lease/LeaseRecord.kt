package io.sequoiawheel.core.lease

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * The stored value of a lease object.
 *
 * @property fencing increases by one each time a holder acquires the lease
 * @property termMillis how long the holder may act after a renewal; 0 once the holder resigned
 * @property renewal increases with each write of the holder, so that reading the object back shows which unconfirmed
 *   write took effect
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
