package io.sequoiawheel.core.routing

import io.sequoiawheel.core.model.InstanceId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class PrefixIndexTest {
    private val replica = InstanceId("r")

    /** Guards against counting a prefix as cached although a block within it was evicted. */
    @Test
    fun `only uninterrupted leading blocks count, until gaps or a restart invalidate them`() {
        val index = PrefixIndex(maximumBlocks = 10)
        index.apply(replica, "s1", 1, listOf(1, 2, 3), emptyList())
        assertEquals(48, index.cachedTokens(replica, listOf(1, 2, 3, 4)))
        index.apply(replica, "s1", 2, emptyList(), listOf(2))
        assertEquals(16, index.cachedTokens(replica, listOf(1, 2, 3, 4)))
        listOf(4L, 6L, 8L, 10L).forEach { index.apply(replica, "s1", it, listOf(100 + it), emptyList()) }
        assertEquals(0, index.cachedTokens(replica, listOf(1, 2, 3, 4)))
        index.apply(replica, "s2", 1, listOf(1), emptyList())
        assertEquals(16, index.cachedTokens(replica, listOf(1, 2)))
        assertEquals(0, index.lastSequence(replica, "s1"))
    }

    /** Guards against unbounded memory use under a stream of new prompts. */
    @Test
    fun `the oldest blocks are evicted first`() {
        val index = PrefixIndex(maximumBlocks = 10)
        (1L..30L).forEach { index.apply(replica, "s", it, listOf(it), emptyList()) }
        assertEquals(0, index.cachedTokens(replica, listOf(20)))
        assertEquals(160, index.cachedTokens(replica, (21L..30L).toList()))
    }
}
