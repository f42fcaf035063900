/*
 * Limits on what callers may occupy. Their defaults follow from what the machine grants the process; each can be set by
 * an environment variable.
 */
package io.sequoiawheel.relay.http

import io.sequoiawheel.core.memory.ProgressRule
import io.sequoiawheel.core.relay.ProcessLimits

/**
 * Settings of the operator, null for the default.
 *
 * @property memoryMegabytes memory of the requests that are read or served
 * @property connections open connections of callers
 * @property receiveKilobytes receive buffer of one connection in the operating system
 * @property bodyMillis longest time in which a body arrives
 * @property bodyBytesPerSecond least average rate of a body
 */
data class CallerLimitSettings(
    val memoryMegabytes: Int? = null,
    val connections: Int? = null,
    val receiveKilobytes: Int? = null,
    val bodyMillis: Int? = null,
    val bodyBytesPerSecond: Int? = null,
) {
    companion object {
        /** Reads the settings from [environment]. Throws [IllegalArgumentException] that names a wrong one. */
        fun of(environment: Map<String, String>) =
            CallerLimitSettings(
                memoryMegabytes = number(environment, "SEQUOIAWHEEL_CALLER_MEMORY_MB", 1..MAXIMUM_MEGABYTES),
                connections = number(environment, "SEQUOIAWHEEL_CALLER_CONNECTIONS", 1..MAXIMUM_CONNECTIONS),
                receiveKilobytes = number(environment, "SEQUOIAWHEEL_CALLER_RECEIVE_KB", 1..MAXIMUM_KILOBYTES),
                bodyMillis = number(environment, "SEQUOIAWHEEL_CALLER_BODY_MS", 1..Int.MAX_VALUE),
                bodyBytesPerSecond = number(environment, "SEQUOIAWHEEL_CALLER_BODY_BYTES_PER_S", 0..Int.MAX_VALUE),
            )

        private fun number(
            environment: Map<String, String>,
            name: String,
            allowed: IntRange,
        ): Int? {
            val text = environment[name]?.takeIf { it.isNotBlank() } ?: return null
            return requireNotNull(text.toIntOrNull()?.takeIf { it in allowed }) {
                "$name: '$text' is not a number from ${allowed.first} to ${allowed.last}"
            }
        }

        private const val MAXIMUM_MEGABYTES = 1_048_576
        private const val MAXIMUM_KILOBYTES = 65_536
        private const val MAXIMUM_CONNECTIONS = 1_000_000
    }
}

/** The limits in force, see [CallerLimitSettings]. */
internal class CallerLimits(
    val memoryBytes: Long,
    val connections: Int,
    val receiveBytes: Int,
    private val bodyMillis: Long,
    private val bodyBytesPerSecond: Long,
) {
    /** Returns the rule for a body on a connection that may be silent for [idleTimeoutMillis]. */
    fun bodyRule(idleTimeoutMillis: Long) =
        ProgressRule(idleTimeoutMillis, maxOf(bodyMillis, idleTimeoutMillis), bodyBytesPerSecond)

    companion object {
        /** Returns the limits for a process with [process] and a heap of [heapBytes]. */
        fun of(
            process: ProcessLimits,
            heapBytes: Long,
            settings: CallerLimitSettings = CallerLimitSettings(),
        ) = CallerLimits(
            memoryBytes =
                settings.memoryMegabytes?.let { it * BYTES_PER_MEGABYTE }
                    ?: minOf(heapBytes / HEAP_DIVISOR, (process.memoryBytes ?: Long.MAX_VALUE) / MEMORY_DIVISOR),
            connections = settings.connections ?: connections(process, heapBytes),
            receiveBytes = (settings.receiveKilobytes ?: RECEIVE_KILOBYTES) * BYTES_PER_KILOBYTE,
            bodyMillis = (settings.bodyMillis ?: BODY_MILLIS).toLong(),
            bodyBytesPerSecond = (settings.bodyBytesPerSecond ?: BODY_BYTES_PER_SECOND).toLong(),
        )

        private fun connections(
            process: ProcessLimits,
            heapBytes: Long,
        ): Int {
            val granted = (process.maximumDescriptors ?: DESCRIPTORS) - RESERVED_DESCRIPTORS
            val descriptors = (granted - OWN_DESCRIPTORS) / DESCRIPTOR_DIVISOR
            val byHeap = heapBytes / HEAP_PER_CONNECTION_BYTES
            return minOf(descriptors.toLong(), byHeap).toInt().coerceAtLeast(MINIMUM_CONNECTIONS)
        }

        /** A quarter of the heap leaves room for responses, the configuration and the collector. */
        private const val HEAP_DIVISOR = 4

        /** The heap is about a third of the memory of the smallest machines. */
        private const val MEMORY_DIVISOR = 10

        /** Descriptors of an instance whose settings do not state them: those of the smallest machine. */
        private const val DESCRIPTORS = 2_212

        /** Descriptors that the platform keeps of those that the settings state. */
        private const val RESERVED_DESCRIPTORS = 200

        /** Files of the virtual machine, listeners, and connections to the store and to other instances. */
        private const val OWN_DESCRIPTORS = 100

        /**
         * Beside the connection of its caller, a request may have one to the replica that serves it and one to a
         * replica whose answer is no longer wanted.
         */
        private const val DESCRIPTOR_DIVISOR = 3

        /** An idle connection occupies about 8 KB; all of them together may take an eighth of the heap. */
        private const val HEAP_PER_CONNECTION_BYTES = 65_536L
        private const val MINIMUM_CONNECTIONS = 16

        /**
         * Received bytes count towards the memory of the process before they are read, so the buffers of all
         * connections must fit beside the heap: about 640 x 32 KB on the smallest machine.
         */
        private const val RECEIVE_KILOBYTES = 32

        /** Three times the longest deadline of the known routes. */
        private const val BODY_MILLIS = 120_000

        /** A body of 4 MB within the time above needs 35 KB/s; this only ends trickles early. */
        private const val BODY_BYTES_PER_SECOND = 64
        private const val BYTES_PER_KILOBYTE = 1_024
        private const val BYTES_PER_MEGABYTE = 1_048_576L
    }
}
