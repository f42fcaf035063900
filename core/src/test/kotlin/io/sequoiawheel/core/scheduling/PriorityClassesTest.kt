package io.sequoiawheel.core.scheduling

import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.ReplicaLoad
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Classes of the load of the first site: long generations of rank 2 beside short ones of rank 0. */
class PriorityClassesTest {
    private val engine = EngineProfile(24, 26_800, 163_840, 4, supportsMigration = true, supportsBackup = true)
    private val short = GenerationDemand(2_200, 8)
    private val long = GenerationDemand(3_000, 748)

    private fun loadOf(generations: Int) = ReplicaLoad().apply { repeat(generations) { begin(long.tokens) } }

    private fun classOf(
        rank: Int,
        demand: GenerationDemand,
        running: Int = 0,
    ) = PriorityClasses.ofNew(rank, demand, loadOf(running), engine)

    // A short prompt that is due in 1.5 s waited behind the long prompts of a burst, and 177 of 1,083 were late.
    @Test
    fun `an urgent short prompt is read before long ones and both after continuations`() {
        assertTrue(PriorityClasses.CONTINUATION < classOf(0, short))
        assertTrue(classOf(0, short) < classOf(2, long))
    }

    @Test
    fun `rank takes precedence over size and size orders within a rank`() {
        val classes = listOf(0, 1, 2).flatMap { listOf(classOf(it, short), classOf(it, long)) }
        assertEquals(classes.sorted().distinct(), classes)
        assertEquals(listOf(classOf(0, short), classOf(2, long)), listOf(classOf(-3, short), classOf(99, long)))
    }

    // Requests without a class are in class 5; a system that shares the engines must not be mixed with ours.
    @Test
    fun `class 5 is not used`() {
        assertTrue((0..3).none { classOf(it, short) == 5 || classOf(it, long) == 5 })
    }

    // An engine without free memory preempts a running long stream for a more urgent prompt; the stream is then late
    // as a whole and its prompt is read again, which delays the other streams there.
    @Test
    fun `a request that the memory does not suffice for displaces no running generation`() {
        assertTrue(classOf(0, short, running = 7) >= classOf(2, long))
        assertTrue(classOf(0, short, running = 6) < classOf(2, long))
    }

    @Test
    fun `a generation beyond the slots of its engine displaces none`() {
        val small = GenerationDemand(100, 8)
        val full = ReplicaLoad().apply { repeat(engine.slots) { begin(small.tokens) } }
        assertEquals(PriorityClasses.WITHOUT_MEMORY, PriorityClasses.ofNew(0, small, full, engine))
    }
}
