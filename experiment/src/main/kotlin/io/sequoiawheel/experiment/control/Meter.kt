package io.sequoiawheel.experiment.control

import java.lang.management.ManagementFactory

/** Measures processor time of the calling thread and heap that a structure retains. */
internal object Meter {
    private const val NANOS_PER_MICRO = 1_000.0
    private const val COLLECTIONS = 3
    private val threads = ManagementFactory.getThreadMXBean()

    /** Returns the processor time of one call of [operation] in microseconds, after as many calls to warm up. */
    inline fun cpuMicros(
        repetitions: Int,
        operation: (Int) -> Unit,
    ): Double {
        repeat(repetitions) { operation(it) }
        val before = cpuNanos()
        repeat(repetitions) { operation(repetitions + it) }
        return (cpuNanos() - before) / NANOS_PER_MICRO / repetitions
    }

    /** Returns the bytes of heap that the result of [build] retains, measured after forced collections. */
    fun retainedBytes(build: () -> Any): Long {
        val before = usedBytes()
        val kept = build()
        val after = usedBytes()
        // Keeps the structure reachable until the second reading.
        check(kept.hashCode() != Int.MIN_VALUE || kept == kept)
        return (after - before).coerceAtLeast(0)
    }

    fun cpuNanos(): Long = threads.currentThreadCpuTime

    private fun usedBytes(): Long {
        val runtime = Runtime.getRuntime()
        repeat(COLLECTIONS) { System.gc() }
        return runtime.totalMemory() - runtime.freeMemory()
    }
}
