package io.sequoiawheel.experiment.state

import io.sequoiawheel.core.claim.ClaimAnswer
import io.sequoiawheel.core.claim.ClaimDecision
import io.sequoiawheel.core.claim.ClaimExpiry
import io.sequoiawheel.core.claim.ClaimKey
import io.sequoiawheel.core.claim.ClaimRegistry
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.standin.store.ObjectStoreModel
import io.sequoiawheel.standin.store.StoreFaults
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test

class ClaimRegistryTest {
    private val key = ClaimKey(ServiceName("desk"), WorkspaceName("w"), "record", "k1")
    private val liveInstances = mutableSetOf("a", "b")
    private var claimCount = 0

    private fun TestScope.store() =
        ObjectStoreModel(
            Clock { currentTime },
            RandomSource.XO_RO_SHI_RO_128_PP.create(1L),
            scope = backgroundScope,
        )

    private fun TestScope.registry(
        name: String,
        api: ObjectApi,
    ) = ClaimRegistry(
        api,
        InstanceId(name),
        Clock {
            currentTime
        },
        { it.value in liveInstances },
        { "$name-${claimCount++}" },
    )

    private suspend fun ClaimRegistry.claim(digest: String = "d") = claim(key, digest, 86_400_000, 10_000)

    private fun ClaimDecision.code() = (this as ClaimDecision.Rejected).failure.code

    /** Guards against a second dispatch of the same key while, and after, the first one runs. */
    @Test
    fun `the same key is granted once and then answers from the record`() =
        runTest {
            val store = store()
            val first = registry("a", store)
            val second = registry("b", store)
            val ticket = (first.claim() as ClaimDecision.Granted).ticket
            assertEquals(ResultCode.IN_PROGRESS, second.claim().code())
            assertEquals(ResultCode.IDEMPOTENCY_KEY_REUSED, second.claim("other").code())
            first.complete(ticket, ClaimAnswer(ResultCode.OK.number, 200, "{}"))
            assertEquals("{}", (second.claim() as ClaimDecision.Recorded).answer.body)
            assertEquals("{}", second.outcome(key).getOrNull()!!.body)
        }

    /** Guards against running a call again after its claimant died before recording an outcome. */
    @Test
    fun `a claim stays claimed after its claimant has died`() =
        runTest {
            val store = store()
            registry("a", store).claim()
            liveInstances -= "a"
            assertEquals(ResultCode.OUTCOME_UNKNOWN, registry("b", store).claim().code())
        }

    /** Guards against rejecting a call whose claim succeeded, and against dispatching without a definite answer. */
    @Test
    fun `a lost answer is resolved by read-back and an unresolved claim is released later`() =
        runTest {
            val store = store()
            val client = store.client().apply { loseNextAnswers(1) }
            val first = registry("a", client)
            val ticket = assertInstanceOf(ClaimDecision.Granted::class.java, first.claim()).ticket
            first.release(ticket)

            // The first write takes effect at 2 ms, its answer is lost, and the store is down before the read-back.
            client.faults = StoreFaults(lostAnswerProbability = 1.0)
            launch {
                delay(500)
                client.faults = StoreFaults(outage = true)
            }
            assertEquals(ResultCode.CLAIM_STORE_UNAVAILABLE, first.claim().code())
            assertEquals(1, first.pendingWriteCount)
            client.faults = StoreFaults(latencyMillis = 0)
            first.retryNextPendingWrite()
            assertEquals(0, first.pendingWriteCount)
            assertInstanceOf(ClaimDecision.Granted::class.java, registry("b", store).claim())
        }

    /** Guards against a delayed create that restores an abandoned claim and blocks the key until the claim expires. */
    @Test
    fun `a write that takes effect after the release does not block the key`() =
        runTest {
            val store = store()
            val client = store.client()
            client.faults = StoreFaults(lateWriteProbability = 1.0, lateWriteMillis = 60_000)
            val first = registry("a", client)
            assertEquals(ResultCode.CLAIM_STORE_UNAVAILABLE, first.claim().code())
            client.faults = StoreFaults(latencyMillis = 0)
            first.retryNextPendingWrite()
            delay(120_000)
            assertInstanceOf(ClaimDecision.Granted::class.java, registry("b", store).claim())
        }

    /** Guards against expiry that deletes records before their retention has passed. */
    @Test
    fun `a record is deleted only after its retention`() =
        runTest {
            val store = store()
            val registry = registry("a", store)
            val expiry = ClaimExpiry(store, Clock { currentTime })
            registry.complete((registry.claim() as ClaimDecision.Granted).ticket, ClaimAnswer(ResultCode.OK.number))
            delay(86_400_000)
            assertEquals(0, expiry.sweep { true }.getOrNull())
            delay(120_000)
            assertEquals(1, expiry.sweep { true }.getOrNull())
        }
}
