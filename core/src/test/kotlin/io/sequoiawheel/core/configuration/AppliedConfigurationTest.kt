package io.sequoiawheel.core.configuration

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

@Param(name = "generation", gen = IntGen::class, conf = "1:3")
class AppliedConfigurationTest {
    private val applied = AppliedConfiguration()
    private val desk = ServiceName("desk")

    private fun generation(number: Long) =
        AcceptedDocument(
            number,
            number,
            ServiceDocument(desk, ServiceDocument.Kind.PLAIN_SERVICE, "asha"),
            emptyList(),
        )

    @Operation
    fun apply(
        @Param(name = "generation") number: Int,
    ): Boolean = applied.apply(generation(number.toLong()))

    @Operation
    fun generationInForce(): Long = applied.generationOf(desk)

    /** Guards against two concurrent updates after which the older generation stays in force. */
    @Test
    fun `operations are linearizable`() =
        ModelCheckingOptions()
            .iterations(3)
            .threads(3)
            .actorsPerThread(2)
            .invocationsPerIteration(300)
            .check(this::class)

    /** Guards against a late message that reverts a newer generation, and against equal digests of different states. */
    @Test
    fun `an older generation is ignored and digests follow generations`() {
        applied.apply(generation(2))
        val digest = applied.digest()
        assertFalse(applied.apply(generation(1)))
        assertEquals(digest, applied.digest())
        applied.apply(generation(3))
        assertNotEquals(digest, applied.digest())
    }

    /** Guards against reporting a change as in force while a child in the tree has not applied it. */
    @Test
    fun `a subtree reports the lowest generation and drops children that stop reporting`() {
        applied.apply(generation(5))
        val progress = SubtreeProgress(applied)
        val child = InstanceId("child")
        progress.receive(child, SubtreeReport(3, mapOf(desk to 4)), 0)
        assertEquals(SubtreeReport(4, mapOf(desk to 4)), progress.report(1_000))
        progress.receive(child, SubtreeReport(3, emptyMap()), 1_000)
        assertEquals(0, progress.report(2_000).lowest[desk])
        assertEquals(SubtreeReport(1, mapOf(desk to 5)), progress.report(9_000))
    }
}
