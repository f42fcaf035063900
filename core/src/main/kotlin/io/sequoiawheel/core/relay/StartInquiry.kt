package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A question of a starting instance about an era of the store, or the answer of another instance.
 *
 * @property era the era of the store
 * @property version the newest version of the configuration that the sender knows to have been in force; null in a
 *   question
 * @property ageMillis how long ago the era began, as far as the sender knows
 */
@Serializable
data class EraReport(
    @SerialName("e") val era: Long,
    @SerialName("v") val version: Long? = null,
    @SerialName("a") val ageMillis: Long = 0,
)

/**
 * The time in which an instance that has just started asks the others whether the store was restored from an older copy
 * shortly before. An instance that knows no other one does not wait. Confined to one thread.
 */
class StartInquiry(
    private val clock: Clock,
) {
    private var readMillis: Long? = null
    private var listedMillis: Long? = null
    private var isClosed = false

    /** Whether the configuration read at the start is not to be taken for the newest one yet. */
    val isOpen: Boolean
        get() {
            val read = readMillis ?: return false
            val listed = listedMillis
            val end = if (listed == null) read + LISTING_MILLIS else maxOf(read, listed) + ANSWER_MILLIS
            return !isClosed && clock.nowMillis() < end
        }

    /** Whether other instances are to be asked now. */
    val isAsking: Boolean get() = isOpen && listedMillis != null

    /** Records that the store was read; only the first call counts. */
    fun recordRead() {
        readMillis = readMillis ?: clock.nowMillis()
    }

    /** Records that the list of instances was read; only the first call counts. */
    fun recordListed(hasOthers: Boolean) {
        if (listedMillis != null) return
        val isOverdue = readMillis?.let { clock.nowMillis() - it >= LISTING_MILLIS } ?: false
        listedMillis = clock.nowMillis()
        if (!hasOthers || isOverdue) close()
    }

    /** Ends the time early. */
    fun close() {
        isClosed = true
    }

    companion object {
        /**
         * Registering the instance and listing the others take a few milliseconds. If the store is slow, the three
         * calls of an instance that was killed and is still registered take up to 300 ms each; the configuration is
         * read during the first one.
         */
        internal const val LISTING_MILLIS = 700L

        /** Two or three questions, which are 100 ms apart, so that one lost datagram does not matter. */
        internal const val ANSWER_MILLIS = 300L

        /** Several, since some of those listed in an older copy may have terminated. */
        private const val ASKED_INSTANCES = 8

        /** Returns the instances to ask: evenly spaced by name, since neighbours are often restarted together. */
        internal fun recipients(peers: List<Peer>): List<Endpoint> {
            val count = minOf(peers.size, ASKED_INSTANCES)
            return (0 until count).map { peers[it * peers.size / count].endpoint }
        }
    }
}
