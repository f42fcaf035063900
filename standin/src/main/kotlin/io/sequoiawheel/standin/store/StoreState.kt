package io.sequoiawheel.standin.store

import io.sequoiawheel.core.model.Clock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import org.apache.commons.rng.UniformRandomProvider

/** What all clients of one object store share. */
internal class StoreState(
    clock: Clock,
    private val random: UniformRandomProvider,
    budget: CallBudget,
    val scope: CoroutineScope?,
) {
    val objects = VersionedObjects(clock)
    val meter = CallMeter(clock, budget)
    val faults = MutableStateFlow(StoreFaults())

    /** Returns a random number from 0 to 1. */
    @Synchronized
    fun draw(): Double = random.nextDouble()
}
