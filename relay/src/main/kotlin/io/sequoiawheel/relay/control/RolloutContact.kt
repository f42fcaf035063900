package io.sequoiawheel.relay.control

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.LoadExchange
import io.sequoiawheel.core.relay.RolloutBounds

/**
 * Whether this instance would learn in time that a version is bad: from the store, or while that is unreachable, from
 * the other instances. A small part of a partitioned fleet would not learn what the rest sees. Confined to the event
 * loop.
 */
internal class RolloutContact(
    bounds: RolloutBounds,
    private val loads: LoadExchange,
    private val freshness: Freshness,
    private val clock: Clock,
) {
    private val limitMillis = (bounds.rollbackMillis * SHARE).toLong()

    val isPresent: Boolean get() = freshness.ageMillis() <= limitMillis || hasPeers()

    /** Age of the last message from another instance, or null if there was none. */
    val peerAgeMillis: Long? get() = loads.receivedAtMillis?.let { clock.nowMillis() - it }

    private fun hasPeers(): Boolean {
        val expected = loads.instanceCount
        if (expected == 1) return true
        val age = peerAgeMillis ?: return false
        return age <= limitMillis && loads.liveCount() * 2 > expected
    }

    private companion object {
        /** The configuration is confirmed every 2.4 s; what remains of 5 s is for the news to arrive. */
        const val SHARE = 0.64
    }
}
