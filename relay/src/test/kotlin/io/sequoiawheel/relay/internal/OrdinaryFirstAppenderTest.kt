package io.sequoiawheel.relay.internal

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.AppenderBase
import io.sequoiawheel.relay.RelayFixture
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch

class OrdinaryFirstAppenderTest {
    private val context = LoggerContext().also { it.mdcAdapter = LogbackMDCAdapter() }
    private val isWriting = CountDownLatch(1)
    private val mayWrite = CountDownLatch(1)
    private val written = CopyOnWriteArrayList<String>()
    private val output =
        object : AppenderBase<ILoggingEvent>() {
            override fun append(event: ILoggingEvent) {
                isWriting.countDown()
                mayWrite.await()
                written += event.message
            }
        }

    // Lines that a slow output dropped were missing without a count.
    @Test
    @Timeout(10)
    fun `a blocked output drops ordinary lines first and counts what it drops`() {
        var dropped = 0
        val appender = OrdinaryFirstAppender { dropped++ }
        appender.context = context
        appender.queueSize = 4
        appender.discardingThreshold = 2
        output.context = context
        output.start()
        appender.addAppender(output)
        appender.start()
        val root = context.getLogger("ROOT")
        root.addAppender(appender)
        val ordinary = context.getLogger(DecisionLog.ORDINARY_LOGGER)
        ordinary.info("blocked")
        isWriting.await()
        repeat(5) { ordinary.info("ordinary") }
        assertEquals(2, dropped)
        repeat(3) { root.info("unusual") }
        assertEquals(4, dropped)
        mayWrite.countDown()
        RelayFixture.awaitTrue("the queued lines are written") { written.size == 5 }
        context.stop()
        assertEquals(listOf("blocked") + List(3) { "ordinary" } + "unusual", written)
    }
}
