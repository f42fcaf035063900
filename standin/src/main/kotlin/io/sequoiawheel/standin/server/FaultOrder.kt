package io.sequoiawheel.standin.server

import io.sequoiawheel.standin.engine.EngineFaults
import io.sequoiawheel.standin.instances.InstanceListFaults
import io.sequoiawheel.standin.plain.PlainServiceFaults
import io.sequoiawheel.standin.store.StoreFaults
import kotlinx.serialization.Serializable

/**
 * The body of `PUT /faults`. A part that is absent leaves its faults as they are; a part that the stand-in does not
 * have is an error.
 *
 * @property link faults of the network and process, for every stand-in
 * @property engine faults of a model engine
 * @property plain faults of a plain service
 * @property store faults of the object API, which every client of the store sees
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
    /** Whether the order has a part for a model. */
    val hasModelPart: Boolean get() = listOfNotNull(engine, plain, store, instances).isNotEmpty()
}
