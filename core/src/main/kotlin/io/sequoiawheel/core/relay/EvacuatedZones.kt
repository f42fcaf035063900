package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ZoneName
import kotlinx.collections.immutable.ImmutableSet
import kotlinx.collections.immutable.toImmutableSet

/**
 * The availability zones that operators have taken out. After the store came back from an older copy, a zone that its
 * list lacks stays out until the operator has had time to write again what the copy lost. Confined to one thread.
 */
class EvacuatedZones(
    private val clock: Clock,
) {
    private val listed = LinkedHashSet<ZoneName>()
    private val heldUntilMillis = HashMap<ZoneName, Long>()

    /** The zones that receive no new work now. */
    val zones: ImmutableSet<ZoneName> get() = (listed + heldUntilMillis.keys).filter { it in this }.toImmutableSet()

    /** Whether [zone] receives no new work now. */
    operator fun contains(zone: ZoneName): Boolean =
        zone in listed || heldUntilMillis[zone]?.let { clock.nowMillis() < it } ?: false

    /** Replaces the list. */
    fun replaceAll(
        zones: Set<ZoneName>,
        standing: ListStanding,
    ) {
        val before = this.zones
        if (standing == ListStanding.NEW_ERA) {
            val untilMillis = clock.nowMillis() + HOLD_MILLIS
            heldUntilMillis.keys.retainAll(before)
            before.filter { it !in zones }.forEach { heldUntilMillis.putIfAbsent(it, untilMillis) }
        }
        listed.clear()
        listed += zones
        heldUntilMillis.keys.removeAll(listed)
    }

    /** Records that [zone] was taken out, or taken back. */
    fun set(
        zone: ZoneName,
        isOut: Boolean,
    ) {
        heldUntilMillis.remove(zone)
        if (isOut) listed += zone else listed -= zone
    }

    private companion object {
        /** The operator writes again within moments; a zone that is not used for some seconds more costs only room. */
        const val HOLD_MILLIS = 10_000L
    }
}
