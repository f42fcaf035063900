package io.sequoiawheel.relay.internal

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.relay.CapturedLog
import io.sequoiawheel.relay.text
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class DecisionLogTest {
    private var nowMillis = 0L
    private var dropped = 0L
    private val log =
        DecisionLog(Clock { nowMillis }, linesPerSecond = 2, ordinaryLinesPerSecond = 3, droppedLines = { dropped })

    private fun CapturedLog.requests() = lines.mapNotNull { it.text("request") }

    private fun end(
        request: String,
        isUnusual: Boolean = false,
    ) = log.requestEnd(isUnusual) { mapOf("request" to request) }

    // Lines were left out without regard to what they say, so that the ones that explain a failure were missing.
    @Test
    fun `a flood of ordinary requests does not displace the lines of unusual ones`() {
        CapturedLog().use { captured ->
            repeat(100) { end("budget-ordinary") }
            end("budget-second-send", isUnusual = true)
            log.request("refused request is sent again", mapOf("request" to "budget-resend"))
            assertEquals(List(3) { "budget-ordinary" } + "budget-second-send" + "budget-resend", captured.requests())
        }
    }

    @Test
    fun `omitted lines are counted by kind, and their fields are not built`() {
        CapturedLog().use { captured ->
            var built = 0
            repeat(10) {
                log.requestEnd(isUnusual = false) {
                    built++
                    emptyMap()
                }
            }
            repeat(6) { end("budget-unusual", isUnusual = true) }
            nowMillis += 1_000
            end("budget-next")
            val line = captured.lines.single { it.text("message") == "log lines omitted" }
            assertEquals("11" to "7", line.text("omitted") to line.text("omittedOrdinary"))
            assertEquals(3, built)
        }
    }

    // Lines that a slow output dropped were missing without a count.
    @Test
    fun `lines that the queue has dropped are reported once`() {
        CapturedLog().use { captured ->
            dropped = 5
            repeat(3) {
                nowMillis += 1_000
                end("dropped-next")
            }
            val line = captured.lines.single { it.text("message") == "log lines omitted" }
            assertEquals("5" to "0", line.text("dropped") to line.text("omitted"))
        }
    }
}
