package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ZoneName

/** A fleet whose size and members do not change; the names of the instances are `entry-0`, `entry-1` and so on. */
internal data class FixedFleet(
    override val instanceCount: Int,
    private val index: Int = 0,
    private val zones: Int = 1,
) : FleetMembership {
    override val selfName = name(index)
    override val isKnown = true
    override val zone = ZoneName("zone-${index % zones}")
    override val zoneInstances = (0..<instanceCount).filter { it % zones == index % zones }.map(::name)

    private fun name(number: Int) = "entry-$number"
}
