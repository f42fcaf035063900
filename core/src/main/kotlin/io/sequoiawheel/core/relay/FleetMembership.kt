package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ZoneName

/** The instances that share the limits of the backend servers, as one of them knows them. */
interface FleetMembership {
    /** Name of this instance. */
    val selfName: String

    val zone: ZoneName

    /** Whether the other instances were listed or heard of; until then [instanceCount] is that of the largest fleet. */
    val isKnown: Boolean

    /** Upper estimate of the number of instances, this one included. */
    val instanceCount: Int

    /** Names of the instances in [zone], this one included. */
    val zoneInstances: Collection<String>

    /** Time since the newest load message of another instance arrived, or null if none is in force. */
    val loadAgeMillis: Long? get() = null
}
