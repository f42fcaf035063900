package io.sequoiawheel.core.membership

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName
import kotlinx.collections.immutable.toImmutableList
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class MembershipTest {
    private val zone = ZoneName("a")

    private fun entry(
        name: String,
        state: Instance.State = Instance.State.LIVE,
    ) = Instance(InstanceId(name), Instance.Role.ENTRY, zone, "r", "127.0.0.1:1", state = state)

    private fun update(
        sequence: Long,
        vararg instances: Instance,
    ) = MembershipUpdate(InstanceId("w"), sequence, instances.toList().toImmutableList())

    /** Guards against reassigning a key whose instance is still present. */
    @Test
    fun `removing an instance moves only its keys`() {
        val all = (1..10).map { InstanceId("i$it") }
        val keys = (1..500).map { "replica-$it" }
        keys.filter { RendezvousHashing.first(it, all) != all[3] }.forEach { key ->
            assertEquals(RendezvousHashing.first(key, all), RendezvousHashing.first(key, all - all[3]))
        }
        val counts = keys.groupingBy { RendezvousHashing.first(it, all) }.eachCount()
        assertTrue(counts.values.all { it in 25..90 }, "$counts")
    }

    /** Guards against a relay tree that does not reach every instance. */
    @Test
    fun `the relay tree reaches each instance once`() {
        val all = (1..68).map { InstanceId("i$it") }
        val tree = RelayTree("zone", all)
        val reached = all.flatMap { tree.children(it) } + tree.root!!
        assertEquals(all.toSet(), reached.toSet())
        assertEquals(all.size, reached.size)
        all.forEach { parent -> tree.children(parent).forEach { assertEquals(parent, tree.parent(it)) } }
    }

    /** Guards against a delayed list that makes a leaving instance eligible for work again. */
    @Test
    fun `an instance marked as leaving stays marked`() {
        val table = MembershipTable(entry("self"))
        table.apply(update(1, entry("self"), entry("b", Instance.State.LEAVING)), 0)
        table.apply(update(2, entry("self"), entry("b")), 1_000)
        assertFalse(table.mayReceiveWork(InstanceId("b")))
    }

    /** Guards against reassigning a share while its previous owner still uses it. */
    @Test
    fun `an instance missing from the list counts during the retention period`() {
        val table = MembershipTable(entry("self"))
        table.apply(update(1, entry("self"), entry("b")), 0)
        table.apply(update(2, entry("self")), 1_000)
        assertEquals(2, table.entries(zone, 9_999).size)
        assertEquals(1, table.entries(zone, 10_000).size)
        table.recordMessageFrom(InstanceId("b"), 9_000)
        assertEquals(2, table.entries(zone, 18_000).size)
    }
}
