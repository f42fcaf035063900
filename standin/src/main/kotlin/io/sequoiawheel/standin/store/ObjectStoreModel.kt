/*
 * In-memory implementation of the platform's object API without I/O. It runs in real and in virtual time, because every
 * wait is a `delay` and the current time comes from the clock. Clients with their own faults simulate zones that are
 * disconnected from the platform.
 */
package io.sequoiawheel.standin.store

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import kotlinx.coroutines.CoroutineScope
import org.apache.commons.rng.UniformRandomProvider

/**
 * An object store with versions, conditional updates, watches, a call budget and fault injection. Thread-safe.
 *
 * Calls on the model itself are subject to [faults] only; calls through a [client] also to the faults of that client.
 */
class ObjectStoreModel private constructor(
    private val state: StoreState,
) : ObjectApi by StoreClient(state) {
    /**
     * @param random source of random latencies and faults
     * @param scope scope of writes that take effect after their caller got an error; without it such writes are lost
     */
    constructor(
        clock: Clock,
        random: UniformRandomProvider,
        budget: CallBudget = CallBudget(),
        scope: CoroutineScope? = null,
    ) : this(StoreState(clock, random, budget, scope))

    /** Faults that affect every client. */
    var faults: StoreFaults
        get() = state.faults.value
        set(value) {
            state.faults.value = value
        }

    /** Calls [observer] with the key, version and value (null for a deletion) when a write takes effect. */
    fun observeWrites(observer: (ObjectKey, Long, String?) -> Unit) {
        state.objects.onWrite = observer
    }

    /** Returns a client that has its own faults in addition to [faults]. */
    fun client(): StoreClient = StoreClient(state)

    /** Returns the call counts by second of the clock; seconds without calls are absent. */
    fun callsBySecond(): Map<Long, CallCounts> = state.meter.snapshot()
}
