package io.sequoiawheel.relay.internal

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import net.logstash.logback.encoder.LogstashEncoder
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicLong

/**
 * Configures logging as JSON lines on standard output. A separate thread writes them; when its queue is full, lines are
 * dropped and counted, those of ordinary requests first, so that a slow reader of the output never blocks a request.
 * Logback loads this class in every program that has it on its class path; it takes effect only if [isEnabled] is set.
 */
class LogConfiguration :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        if (!isEnabled) return Configurator.ExecutionStatus.INVOKE_NEXT_IF_ANY
        val encoder = LogstashEncoder()
        encoder.context = context
        encoder.fieldNames.version = IGNORED_FIELD
        encoder.fieldNames.levelValue = IGNORED_FIELD
        encoder.fieldNames.logger = IGNORED_FIELD
        encoder.fieldNames.thread = IGNORED_FIELD
        encoder.start()
        val console = ConsoleAppender<ILoggingEvent>()
        console.context = context
        console.encoder = encoder
        console.start()
        val asyncAppender = OrdinaryFirstAppender { dropped.incrementAndGet() }
        asyncAppender.context = context
        asyncAppender.queueSize = QUEUE_CAPACITY
        asyncAppender.discardingThreshold = RESERVED_CAPACITY
        asyncAppender.addAppender(console)
        asyncAppender.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(asyncAppender)
        context.getLogger("io.netty").level = Level.WARN
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    companion object {
        /** Whether this process logs as an entry instance. Must be set before the first logger is used. */
        @Volatile
        var isEnabled = false

        private val dropped = AtomicLong()

        /** Number of lines that this process has dropped because its output was slow. */
        internal val droppedLines: Long get() = dropped.get()

        /** Writes the queued lines, for one second at most. Must be called before the process exits. */
        fun flush() {
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
        }

        private const val IGNORED_FIELD = "[ignore]"

        /** Capacity of the queue in lines: one second at the largest volume. */
        private const val QUEUE_CAPACITY = 2_048

        /** Capacity that is kept for lines other than those of ordinary requests. */
        private const val RESERVED_CAPACITY = 1_024
    }
}
