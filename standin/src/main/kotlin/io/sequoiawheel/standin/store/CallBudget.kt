package io.sequoiawheel.standin.store

/** Calls that the object store answers per second; calls beyond it are refused without taking effect. */
data class CallBudget(
    val writesPerSecond: Int = 400,
    val readsPerSecond: Int = 2_000,
)
