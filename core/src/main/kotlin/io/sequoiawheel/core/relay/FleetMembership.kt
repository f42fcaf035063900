package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.ZoneName

/** The instances that share the limits of the backend servers, as one of them knows them. */
interface FleetMembership {
    /** Name of this instance. */
    val selfName: String

    val zone: ZoneName

    /** Upper estimate of the number of instances, this one included. */
    val instanceCount: Int

    /** Names of the instances in [zone], this one included. */
    val zoneInstances: Collection<String>
}
