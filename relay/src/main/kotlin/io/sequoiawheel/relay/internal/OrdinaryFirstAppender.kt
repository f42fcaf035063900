package io.sequoiawheel.relay.internal

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.spi.ILoggingEvent

/**
 * Drops lines of ordinary requests once less than the discarding threshold of its queue is free, and all lines while
 * it is full. It never blocks. Lines that are queued by several threads at once while the last place is free may be
 * dropped without being counted.
 *
 * @param onDrop called for each line that is dropped
 */
internal class OrdinaryFirstAppender(
    private val onDrop: () -> Unit,
) : AsyncAppender() {
    init {
        isNeverBlock = true
    }

    override fun append(event: ILoggingEvent) {
        val isDropped = remainingCapacity == 0 || isQueueBelowDiscardingThreshold && isDiscardable(event)
        if (isDropped) onDrop() else super.append(event)
    }

    override fun isDiscardable(event: ILoggingEvent) = event.loggerName == DecisionLog.ORDINARY_LOGGER
}
