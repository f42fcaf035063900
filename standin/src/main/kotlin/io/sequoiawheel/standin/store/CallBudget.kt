package io.sequoiawheel.standin.store

import kotlinx.serialization.Serializable

/** Calls that the object store answers per second; calls beyond it are refused without taking effect. */
@Serializable
data class CallBudget(
    val writesPerSecond: Int = 400,
    val readsPerSecond: Int = 2_000,
)
