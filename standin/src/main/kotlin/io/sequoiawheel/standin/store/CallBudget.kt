package io.sequoiawheel.standin.store

import kotlinx.serialization.Serializable

/** Rate limits of the object store; calls that exceed them are refused without taking effect. */
@Serializable
data class CallBudget(
    val writesPerSecond: Int = 400,
    val readsPerSecond: Int = 2_000,
)
