package io.sequoiawheel.objectapi

import arrow.core.left
import arrow.core.right
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.standin.server.LinkFaults
import io.sequoiawheel.standin.store.ObjectStoreModel
import io.sequoiawheel.standin.store.ObjectStoreServer
import io.sequoiawheel.standin.weight.WeightStoreServer
import io.sequoiawheel.standin.weight.WeightStoreSettings
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class HttpObjectApiTest {
    private val key = ObjectKey(ObjectKind.LEASE, "acceptor")
    private val clock = Clock { System.nanoTime() / 1_000_000 }

    private fun withStore(test: suspend (HttpObjectApi, ObjectStoreServer) -> Unit) =
        runBlocking {
            val model = ObjectStoreModel(clock, RandomSource.XO_RO_SHI_RO_128_PP.create(1L))
            val server = ObjectStoreServer(model)
            server.start()
            transport(server.baseUrl).use { transport ->
                try {
                    withTimeout(20_000) { test(HttpObjectApi(server.baseUrl, transport), server) }
                } finally {
                    server.close()
                }
            }
        }

    private fun transport(url: String) =
        PlatformTransport(PlatformSettings(url, url, url, requestTimeoutMillis = 1_000))

    /** Guards against two holders of one lease after concurrent conditional writes. */
    @Test
    fun `one of several concurrent writers succeeds and the others get a conflict`() =
        withStore { api, _ ->
            val outcomes = coroutineScope { (1..8).map { async { api.put(key, "holder-$it", 0) } }.awaitAll() }
            assertEquals(1, outcomes.count { it.isRight() })
            val conflicts = outcomes.mapNotNull { it.leftOrNull()?.code }
            assertEquals(List(7) { ResultCode.DOCUMENT_CONFLICT }, conflicts)
            val winner = outcomes.indexOfFirst { it.isRight() } + 1
            assertEquals("holder-$winner", api.get(key).getOrNull()?.value)
        }

    /** Guards against reporting a lost response as a failed write, after which a claim would be made twice. */
    @Test
    fun `a lost response is reported as unavailable and a later read returns the write`() =
        withStore { api, server ->
            server.link.applyFaults(LinkFaults(loseAnswers = 1))
            assertEquals(ResultCode.PLATFORM_UNAVAILABLE, api.put(key, "mine", 0).leftOrNull()?.code)
            assertEquals("mine", api.get(key).getOrNull()?.value)
        }

    /** Guards against retries inside the client, which would turn a lost response into a conflict. */
    @Test
    fun `a write during an outage is not retried and has no effect`() =
        withStore { api, server ->
            server.link.applyFaults(LinkFaults(outage = true))
            assertEquals(ResultCode.PLATFORM_UNAVAILABLE, api.put(key, "mine", 0).leftOrNull()?.code)
            server.link.applyFaults(LinkFaults())
            server.stop()
            assertEquals(ResultCode.PLATFORM_UNAVAILABLE, api.get(key).leftOrNull()?.code)
            server.start()
            assertEquals(ResultCode.OBJECT_NOT_FOUND, api.get(key).leftOrNull()?.code)
        }

    /** Guards against a stalled write that is applied twice, or overwrites a later write, when the link recovers. */
    @Test
    fun `a stalled write is applied at most once and never overwrites a later one`() =
        withStore { api, server ->
            server.link.applyFaults(LinkFaults(stalled = true))
            assertEquals(ResultCode.PLATFORM_UNAVAILABLE, api.put(key, "stalled", 0).leftOrNull()?.code)
            server.link.applyFaults(LinkFaults())
            val later = api.put(key, "later", 0)
            val expected = if (later.isRight()) "later" else "stalled"
            delay(200)
            val stored = api.get(key).getOrNull()!!
            assertEquals(expected, stored.value)
            assertEquals(api.list(ObjectKind.LEASE).getOrNull()!!.revision, stored.version)
            assertEquals(ResultCode.DOCUMENT_CONFLICT, api.put(key, "third", 0).leftOrNull()?.code)
        }

    /** Guards against a watch that misses a change or is cancelled by the timeout of ordinary calls. */
    @Test
    fun `a watch outlasts the timeout of ordinary calls and returns on a change`() =
        withStore { api, _ ->
            coroutineScope {
                val watch = async { api.watch(ObjectKind.LEASE, 0, 10_000) }
                delay(1_200)
                assertTrue(watch.isActive)
                val version = api.put(key, "first", 0).getOrNull()!!
                val listing = watch.await().getOrNull()!!
                assertEquals(listOf("first"), listing.objects.map { it.value })
                assertEquals(version, listing.revision)
                assertEquals(
                    0,
                    api
                        .watch(ObjectKind.LEASE, listing.revision, 50)
                        .getOrNull()!!
                        .objects.size,
                )
                assertEquals(Unit.right(), api.delete(key, version))
                assertEquals(ResultCode.OBJECT_NOT_FOUND, api.get(key).leftOrNull()?.code)
            }
        }

    /** Guards against losing the retry delay of a rejected load, which would make callers poll. */
    @Test
    fun `a rejected load carries the retry delay of the weight store`() =
        runBlocking {
            val server = WeightStoreServer(WeightStoreSettings(loadsPerMinute = 1.0, burst = 1))
            server.start()
            transport(server.baseUrl).use { transport ->
                val store = HttpWeightStore(server.baseUrl, transport)
                assertEquals(Unit.right(), store.requestLoad("letters"))
                val refusal = store.requestLoad("letters")
                assertEquals(ResultCode.WEIGHT_RATE_EXCEEDED.left(), refusal.mapLeft { it.code })
                assertTrue(refusal.leftOrNull()?.retryAfterMillis!! in 50_000..60_000)
            }
            server.close()
        }
}
