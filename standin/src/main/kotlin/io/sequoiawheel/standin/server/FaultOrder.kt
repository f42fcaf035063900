package io.sequoiawheel.standin.server

import io.sequoiawheel.standin.engine.EngineFaults
import io.sequoiawheel.standin.instances.InstanceListFaults
import io.sequoiawheel.standin.plain.PlainServiceFaults
import io.sequoiawheel.standin.store.StoreFaults
import kotlinx.serialization.Serializable

/**
 * The body of `PUT /faults`. An absent property leaves the faults of that component unchanged; faults of a component
 * that the stand-in does not have are rejected.
 *
 * @property link faults of the network and the process, supported by every stand-in
 * @property engine faults of a model engine
 * @property plain faults of a plain service
 * @property store faults of the object API, which affect every client of the store
 * @property instances faults of the instance list
 */
@Serializable
data class FaultOrder(
    val link: LinkFaults? = null,
    val engine: EngineFaults? = null,
    val plain: PlainServiceFaults? = null,
    val store: StoreFaults? = null,
    val instances: InstanceListFaults? = null,
) {
    /** Whether any faults other than those of the link are set. */
    val hasModelFaults: Boolean get() = listOfNotNull(engine, plain, store, instances).isNotEmpty()
}
