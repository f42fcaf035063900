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

    /** Guards against a stand-in that lets two writers of one version both succeed, or that reuses a version. */
    @Test
    fun `only one of two conditional writes succeeds and versions never recur`() =
        runTest {
            val model = model()
            val first = model.put(key, "1", 0).getOrNull()!!
            assertEquals(ResultCode.DOCUMENT_CONFLICT, model.put(key, "2", 0).leftOrNull()!!.code)
            model.delete(key, first)
            assertTrue(model.put(key, "3", 0).getOrNull()!! > first)
        }

    /** Guards against a lost answer that also loses the write, which would never exercise the read-back. */
    @Test
    fun `a lost answer leaves the write in effect`() =
        runTest {
            val model = model()
            val client = model.client().apply { loseNextAnswers(1) }
            assertEquals(ResultCode.PLATFORM_UNAVAILABLE, client.put(key, "1", 0).leftOrNull()!!.code)
            assertEquals("1", client.get(key).getOrNull()!!.value)
        }

    /** Guards against watches that sleep through a change or through the start of an outage. */
    @Test
    fun `a watch wakes on a change and on an outage`() =
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

    /** Guards against a store that answers any rate, and against stale reads that are fresh. */
    @Test
    fun `calls beyond the budget are refused and stale reads show an old state`() =
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
