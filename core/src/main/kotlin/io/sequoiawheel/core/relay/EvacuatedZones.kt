package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet

/**
 * The availability zones that operators have evacuated. After the store was restored from an older snapshot, a zone
 * that the restored list lacks stays evacuated until the operator has had time to rewrite the lost entries. Confined to
 * one thread.
 */
class EvacuatedZones(
    private val clock: Clock,
) {
    private val listed = LinkedHashSet<ZoneName>()
    private val heldUntilMillis = HashMap<ZoneName, Long>()

    /** The zones that currently receive no new work. */
    val zones: ImmutableSet<ZoneName> get() = (listed + heldUntilMillis.keys).filter { it in this }.toImmutableSet()

    /** Whether [zone] currently receives no new work. */
    operator fun contains(zone: ZoneName): Boolean =
        zone in listed || heldUntilMillis[zone]?.let { clock.nowMillis() < it } ?: false

    /** Replaces the list of evacuated zones with [zones]. */
    fun replaceAll(
        zones: Set<ZoneName>,
        reliability: ListReliability,
    ) {
        val before = this.zones
        if (reliability == ListReliability.NEW_ERA) {
            val untilMillis = clock.nowMillis() + HOLD_MILLIS
            heldUntilMillis.keys.retainAll(before)
            before.filter { it !in zones }.forEach { heldUntilMillis.putIfAbsent(it, untilMillis) }
        }
        listed.clear()
        listed += zones
        heldUntilMillis.keys.removeAll(listed)
    }

    /** Records that [zone] was evacuated or returned to service. */
    fun set(
        zone: ZoneName,
        isEvacuated: Boolean,
    ) {
        heldUntilMillis.remove(zone)
        if (isEvacuated) listed += zone else listed -= zone
    }

    private companion object {
        /**
         * The operator rewrites lost entries quickly; leaving a zone unused for some seconds longer only costs
         * capacity.
         */
        const val HOLD_MILLIS = 10_000L
    }
}
