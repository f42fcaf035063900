package io.sequoiawheel.core.relay

import kotlinx.serialization.SerializationException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Load messages that no instance sends. Any process may send datagrams to the port between instances. */
class PeerMessageTest {
    private fun report(
        work: String = "[1,2,3]",
        extra: String = "",
    ) = """{"type":"i","i":"entry-2","s":1,"n":1,"e":"10.0.0.2:1","w":{"r-1":$work}$extra}"""

    private fun sums(instances: String) =
        """{"type":"z","i":"entry-2","s":1,"n":1,"e":"10.0.0.2:1","z":"b","c":$instances,"w":{}}"""

    private fun assertUnreadable(text: String) {
        assertThrows(SerializationException::class.java, { PeerMessage.decode(text) }, text.take(SHOWN_CHARACTERS))
    }

    // 4294967297 requests were taken as 1, and negative ones lowered the load that others had reported.
    @Test
    fun `work with negative or impossible numbers is unreadable`() {
        for (work in listOf("[-1,2,3]", "[1,-2,3]", "[1,2,-3]", "[4294967297,2,3]", "[1,9223372036854775807,3]")) {
            assertUnreadable(report(work))
        }
        assertEquals("entry-2", PeerMessage.decode(report()).sender)
    }

    // A count of instances that is too large makes the shares of common limits vanish.
    @Test
    fun `a count of instances that is not positive or impossible is unreadable`() {
        for (count in listOf("0", "-1", "2147483647", "4294967297")) assertUnreadable(sums(count))
        assertEquals("b", PeerMessage.decode(sums("16")).zone)
    }

    // The parser's own limit is beyond the end of the small stacks that the relay runs with.
    @Test
    fun `a deeply nested message does not overflow a small stack`() {
        val nested = "[".repeat(DEPTH) + "]".repeat(DEPTH)
        val texts =
            listOf(nested, report(work = nested), report(extra = ",\"x\":$nested"), """{"x":$nested,"type":"i"}""")
        val outcome = CompletableFuture<Unit>()
        val decodeAll = Runnable { outcome.completeWith { texts.forEach(::decodeOrSkip) } }
        Thread(null, decodeAll, "small stack", STACK_BYTES).start()
        outcome.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    private fun decodeOrSkip(text: String) {
        try {
            PeerMessage.decode(text)
        } catch (expected: SerializationException) {
            check(!expected.message.isNullOrBlank())
        }
    }

    private fun CompletableFuture<Unit>.completeWith(action: () -> Unit) {
        try {
            complete(action())
        } catch (failure: Throwable) {
            completeExceptionally(failure)
        }
    }

    private companion object {
        const val DEPTH = 30_000

        /** Less than the event loop has, part of whose stack the frames below the decoder take. */
        const val STACK_BYTES = 160L * 1_024
        const val TIMEOUT_SECONDS = 20L
        const val SHOWN_CHARACTERS = 80
    }
}
