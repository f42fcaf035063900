package io.sequoiawheel.standin.weight

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.math.ceil

/** The rate-limited weight store without I/O. Times are milliseconds of one monotonic clock. Thread-safe. */
class WeightStoreModel(
    private val settings: WeightStoreSettings,
) {
    private val lock = ReentrantLock()
    private val millisPerLoad = MILLIS_PER_MINUTE / settings.loadsPerMinute
    private val granted = LinkedHashMap<String, Int>()
    private var available = settings.burst.toDouble()
    private var updatedAtMillis: Long? = null

    /** Number of loads granted so far, by the name of the weights. */
    val loads: Map<String, Int> get() = lock.withLock { granted.toMap() }

    /** Grants a load of [weight] and returns 0, or returns the milliseconds until a load can be granted. */
    fun request(
        weight: String,
        nowMillis: Long,
    ): Long =
        lock.withLock {
            val elapsed = nowMillis - (updatedAtMillis ?: nowMillis)
            updatedAtMillis = nowMillis
            available = (available + elapsed / millisPerLoad).coerceAtMost(settings.burst.toDouble())
            if (available < 1.0) return ceil((1.0 - available) * millisPerLoad).toLong()
            available -= 1.0
            granted.merge(weight, 1, Int::plus)
            0
        }

    private companion object {
        const val MILLIS_PER_MINUTE = 60_000.0
    }
}
