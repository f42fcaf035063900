package io.sequoiawheel.relay.internal

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import net.logstash.logback.encoder.LogstashEncoder
import org.slf4j.LoggerFactory

/**
 * Sets up JSON lines on standard output. They are written by a thread of their own; when its queue is full, lines are
 * dropped, so that a slow reader of the output never holds up a request. Logback finds this class in every program that
 * has it on its path; it acts only where [isWanted].
 */
class LogConfiguration :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        if (!isWanted) return Configurator.ExecutionStatus.INVOKE_NEXT_IF_ANY
        val encoder = LogstashEncoder()
        encoder.context = context
        encoder.fieldNames.version = IGNORED
        encoder.fieldNames.levelValue = IGNORED
        encoder.fieldNames.logger = IGNORED
        encoder.fieldNames.thread = IGNORED
        encoder.start()
        val console = ConsoleAppender<ILoggingEvent>()
        console.context = context
        console.encoder = encoder
        console.start()
        val queue = AsyncAppender()
        queue.context = context
        queue.queueSize = QUEUED_LINES
        queue.discardingThreshold = 0
        queue.isNeverBlock = true
        queue.addAppender(console)
        queue.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(queue)
        context.getLogger("io.netty").level = Level.WARN
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    companion object {
        /** Whether this process logs as an entry instance; set before the first logger is used. */
        @Volatile
        var isWanted = false

        /** Writes the lines that wait, for a second at most; to be called before the process ends. */
        fun flush() {
            (LoggerFactory.getILoggerFactory() as? LoggerContext)?.stop()
        }

        private const val IGNORED = "[ignore]"

        /** Lines that may wait for a slow reader: several seconds of the largest volume. */
        private const val QUEUED_LINES = 512
    }
}
