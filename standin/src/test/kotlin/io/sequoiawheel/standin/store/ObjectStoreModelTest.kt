package io.sequoiawheel.standin.store

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ObjectStoreModelTest {
    private val key = ObjectKey(ObjectKind.CLAIM, "a")

    private fun TestScope.model(budget: CallBudget = CallBudget()) =
        ObjectStoreModel(Clock { currentTime }, RandomSource.XO_RO_SHI_RO_128_PP.create(1L), budget, backgroundScope)

    /**
     * Guards against a store in which two writes with the same expected version both succeed, or that reuses a version.
     */
    @Test
    fun `only one of two conditional writes succeeds and versions are never reused`() =
        runTest {
            val model = model()
            val first = model.put(key, "1", 0).getOrNull()!!
            assertEquals(ResultCode.DOCUMENT_CONFLICT, model.put(key, "2", 0).leftOrNull()!!.code)
            model.delete(key, first)
            assertTrue(model.put(key, "3", 0).getOrNull()!! > first)
        }

    /**
     * Guards against a lost answer that also loses the write, so that the read-back of a write would never be
     * exercised.
     */
    @Test
    fun `a write takes effect although its answer is lost`() =
        runTest {
            val model = model()
            val client = model.client().apply { loseNextAnswers(1) }
            assertEquals(ResultCode.PLATFORM_UNAVAILABLE, client.put(key, "1", 0).leftOrNull()!!.code)
            assertEquals("1", client.get(key).getOrNull()!!.value)
        }

    /** Guards against watches that do not return on a change or at the start of an outage. */
    @Test
    fun `a watch returns on a change and fails on an outage`() =
        runTest {
            val model = model()
            val changed = async { model.watch(ObjectKind.CLAIM, 0, 60_000) }
            delay(100)
            model.put(key, "1", 0)
            val listing = changed.await().getOrNull()!!
            assertEquals("1", listing.objects.single().value)
            val broken = async { model.watch(ObjectKind.CLAIM, listing.revision, 60_000) }
            delay(100)
            model.faults = StoreFaults(outage = true)
            assertEquals(ResultCode.PLATFORM_UNAVAILABLE, broken.await().leftOrNull()!!.code)
            assertTrue(currentTime < 1_000)
        }

    /** Guards against a store without a rate limit, and against stale reads that return the current state. */
    @Test
    fun `calls beyond the budget are refused and stale reads return an old state`() =
        runTest {
            val model = model(CallBudget(writesPerSecond = 1, readsPerSecond = 100))
            val version = model.put(key, "1", 0).getOrNull()!!
            assertEquals(ResultCode.PLATFORM_UNAVAILABLE, model.put(key, "2", version).leftOrNull()!!.code)
            delay(5_000)
            model.put(key, "2", version)
            model.faults = StoreFaults(staleMillis = 1_000)
            assertEquals("1", model.get(key).getOrNull()!!.value)
        }
}
