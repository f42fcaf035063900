package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.ServiceDocument

/**
 * One call of a plain service.
 *
 * @property body JSON text that is forwarded unchanged
 * @property idempotencyKey the caller's key; required for calls that are not idempotent
 */
data class CallDemand(
    val demand: Demand,
    val call: ServiceDocument.Call,
    val body: String,
    val idempotencyKey: String? = null,
)
