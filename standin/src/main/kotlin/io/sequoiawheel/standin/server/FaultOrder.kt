package io.sequoiawheel.standin.server

import io.sequoiawheel.standin.instances.InstanceListFaults
import io.sequoiawheel.standin.plain.PlainServiceFaults
import kotlinx.serialization.Serializable

/**
 * The body of `PUT /faults`. A part that is absent leaves its faults as they are.
 *
 * @property link faults of the network and process, for every stand-in
 * @property plain faults of a plain service
 * @property instances faults of the instance list
 */
@Serializable
data class FaultOrder(
    val link: LinkFaults? = null,
    val plain: PlainServiceFaults? = null,
    val instances: InstanceListFaults? = null,
) {
    /** Whether the order has a part for a model. */
    val hasModelPart: Boolean get() = plain != null || instances != null
}
