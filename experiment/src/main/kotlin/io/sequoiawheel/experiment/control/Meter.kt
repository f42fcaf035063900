package io.sequoiawheel.experiment.control

import java.lang.management.ManagementFactory

/** Measures the CPU time of the calling thread and the heap that an object retains. */
internal object Meter {
    private const val NANOS_PER_MICRO = 1_000.0
    private const val COLLECTION_COUNT = 3
    private val threadBean = ManagementFactory.getThreadMXBean()

    /** Returns the CPU time per call of [operation] in microseconds, after [repetitions] warm-up calls. */
    inline fun cpuMicros(
        repetitions: Int,
        operation: (Int) -> Unit,
    ): Double {
        repeat(repetitions) { operation(it) }
        val before = cpuNanos()
        repeat(repetitions) { operation(repetitions + it) }
        return (cpuNanos() - before) / NANOS_PER_MICRO / repetitions
    }

    /** Returns the heap bytes that the result of [build] retains, measured after forced garbage collections. */
    fun retainedBytes(build: () -> Any): Long {
        val before = usedBytes()
        val retained = build()
        val after = usedBytes()
        // Keeps the object reachable until the second measurement.
        check(retained.hashCode() != Int.MIN_VALUE || retained == retained)
        return (after - before).coerceAtLeast(0)
    }

    fun cpuNanos(): Long = threadBean.currentThreadCpuTime

    private fun usedBytes(): Long {
        val runtime = Runtime.getRuntime()
        repeat(COLLECTION_COUNT) { System.gc() }
        return runtime.totalMemory() - runtime.freeMemory()
    }
}
