/*
 * The platform's object API without I/O, in memory. It runs in real and in virtual time: every wait is a `delay`, and
 * the time of reading comes from the clock. Clients with faults of their own stand for zones that are cut off.
 */
package io.sequoiawheel.standin.store

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import kotlinx.coroutines.CoroutineScope
import org.apache.commons.rng.UniformRandomProvider

/**
 * An object store with versions, conditional updates, watches, a call budget and faults on order. Thread-safe.
 *
 * Calls on the model itself see [faults] only; [client] adds the faults of one client.
 */
class ObjectStoreModel private constructor(
    private val state: StoreState,
) : ObjectApi by StoreClient(state) {
    /**
     * @param random decides latencies and faults
     * @param scope runs writes that take effect after their caller has given up; without it such writes are lost
     */
    constructor(
        clock: Clock,
        random: UniformRandomProvider,
        budget: CallBudget = CallBudget(),
        scope: CoroutineScope? = null,
    ) : this(StoreState(clock, random, budget, scope))

    /** Faults that every client sees. */
    var faults: StoreFaults
        get() = state.faults.value
        set(value) {
            state.faults.value = value
        }

    /** Calls [observer] with key, version and value (null for a deletion) at the moment each write takes effect. */
    fun observeWrites(observer: (ObjectKey, Long, String?) -> Unit) {
        state.objects.onWrite = observer
    }

    /** Returns a client with faults of its own on top of [faults]. */
    fun client(): StoreClient = StoreClient(state)

    /** Returns the calls by second of the clock, for seconds in which there were any. */
    fun callsBySecond(): Map<Long, CallCounts> = state.meter.snapshot()
}
