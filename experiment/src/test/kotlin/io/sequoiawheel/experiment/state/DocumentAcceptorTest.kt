package io.sequoiawheel.experiment.state

import io.sequoiawheel.core.configuration.ConfigurationReader
import io.sequoiawheel.core.configuration.DocumentAcceptor
import io.sequoiawheel.core.configuration.DocumentStatus
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.standin.store.ObjectStoreModel
import io.sequoiawheel.standin.store.StoreFaults
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class DocumentAcceptorTest {
    private val desk = ServiceName("desk")
    private val key = ObjectKey(ObjectKind.DOCUMENT, "desk")

    private fun text(
        deadline: Int,
        extra: String = "",
    ) = """{"service":"desk","kind":"plainService","author":"asha"$extra,
        "calls":[{"name":"record","idempotent":false,"deadlineMillis":$deadline}]}"""

    private fun TestScope.store() =
        ObjectStoreModel(Clock { currentTime }, RandomSource.XO_RO_SHI_RO_128_PP.create(1L), scope = backgroundScope)

    private fun TestScope.startAcceptor(
        api: ObjectApi,
        name: String,
    ) = backgroundScope.launch { DocumentAcceptor(api, InstanceId(name), Clock { currentTime }, { true }).run() }

    /** Guards against a rejected document that replaces the accepted one or whose faults are not recorded. */
    @Test
    fun `a rejected document does not replace the accepted one and its faulty field is recorded`() =
        runTest {
            val store = store()
            val reader = ConfigurationReader(store)
            startAcceptor(store, "a")
            val version = store.put(key, text(100), 0).getOrNull()!!
            delay(1_000)
            val rejected = store.put(key, text(0), version).getOrNull()!!
            delay(1_000)
            val status = reader.status(desk).getOrNull()!!
            assertEquals(DocumentStatus.Verdict.REJECTED to rejected, status.verdict to status.documentVersion)
            assertEquals("$.calls[0].deadlineMillis", status.faults.single().path)
            assertEquals(1, reader.accepted(desk).getOrNull()!!.generation)
        }

    /** Guards against a change that is accepted twice, reverted, or missing from the audit trail. */
    @Test
    fun `two acceptors with lost answers accept each version once`() =
        runTest {
            val store = store()
            listOf("a", "b").forEach { name ->
                val client = store.client()
                client.faults = StoreFaults(latencyMillis = 0, lostAnswerProbability = 0.3, failureMillis = 100)
                startAcceptor(client, name)
            }
            var version = 0L
            repeat(60) { number ->
                version = store.put(key, text(1_000 + number), version).getOrNull()!!
                delay(5_000)
            }
            val accepted = ConfigurationReader(store).accepted(desk).getOrNull()!!
            assertEquals(version, accepted.documentVersion)
            assertEquals(60, accepted.generation)
            assertEquals((11L..60L).toList(), accepted.audit.map { it.generation })
            assertEquals(
                "$.calls[0].deadlineMillis: 1058 -> 1059",
                accepted.audit
                    .last()
                    .changes
                    .single(),
            )
        }

    /** Guards against a deletion without a generation of its own, which a stale peer could undo. */
    @Test
    fun `a deletion is an accepted tombstone with a generation`() =
        runTest {
            val store = store()
            startAcceptor(store, "a")
            val version = store.put(key, text(100), 0).getOrNull()!!
            delay(1_000)
            store.put(key, text(100, ""","deleted":true"""), version)
            delay(1_000)
            val accepted = ConfigurationReader(store).accepted(desk).getOrNull()!!
            assertTrue(accepted.isTombstone)
            assertEquals(2L to "deleted", accepted.generation to accepted.audit.last().verdict)
        }
}
