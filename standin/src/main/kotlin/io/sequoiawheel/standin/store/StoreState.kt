package io.sequoiawheel.standin.store

import io.sequoiawheel.core.model.Clock
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import org.apache.commons.rng.UniformRandomProvider

/** State shared by all clients of one object store. */
internal class StoreState(
    clock: Clock,
    private val random: UniformRandomProvider,
    budget: CallBudget,
    val scope: CoroutineScope?,
) {
    val objects = VersionedObjects(clock)
    val meter = CallMeter(clock, budget)
    val faults = MutableStateFlow(StoreFaults())

    /** Returns a random number in the range [0, 1). */
    @Synchronized
    fun nextRandom(): Double = random.nextDouble()
}
