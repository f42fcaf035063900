package io.sequoiawheel.core.scheduling

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.pace.BatchServiceTimeEstimator
import io.sequoiawheel.core.relay.EngineProfile
import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaEntry
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Decisions under the load of the first site: 12.7 long generations a second of rank 2 with an objective of 4,006 ms
 * and 24.8 short ones of rank 0 with an objective of 1,504 ms, at 31 engines. An engine holds seven long ones.
 */
class AdmissionPolicyTest {
    private var nowMillis = 0L
    private val profile = EngineProfile(24, 26_800, 163_840, 4, supportsMigration = true, supportsBackup = true)
    private val policy = AdmissionPolicy(BatchServiceTimeEstimator(), RandomSource.XO_RO_SHI_RO_128_PP.create(7L))
    private val queue = AdmissionQueue(policy)
    private val longDemand = GenerationDemand(3_000, 748)
    private val shortDemand = GenerationDemand(2_200, 8)

    private fun long(isInExcess: Boolean = false) =
        AdmissionRequest(2, longDemand, LONG_OBJECTIVE, nowMillis, nowMillis + 39_000, isInExcess)

    private fun short() = AdmissionRequest(0, shortDemand, 1_504, nowMillis, nowMillis + 6_000)

    /** Returns an engine with [running] long generations of all instances, and [prompts] that it has yet to read. */
    private fun engine(
        running: Int,
        prompts: Int = 0,
        zone: String = "a",
    ): Replica {
        val id = InstanceId("e-$running-$prompts-$zone")
        val entry = ReplicaEntry(id, ServiceName("writers"), "127.0.0.1", 1, ZoneName(zone), 24, false, 0, 1)
        return Replica(entry) { nowMillis }.also { load(it, running, prompts) }
    }

    private fun load(
        replica: Replica,
        running: Int,
        prompts: Int = 0,
    ) {
        replica.load.remoteRunning = running
        replica.load.remoteTokens = running * longDemand.tokens
        replica.load.remotePromptTokens = prompts * longDemand.promptTokens.toLong()
    }

    private fun fleet(
        running: Int,
        prompts: Int = 0,
    ) = List(ENGINES) { engine(running, prompts) }

    private fun decide(
        request: AdmissionRequest,
        engines: List<Replica>,
    ) = policy.decide(request, engines, profile, nowMillis)

    /** Returns the time that [request] is held while the loads do not change. */
    private fun heldMillis(
        request: AdmissionRequest,
        engines: List<Replica>,
    ): Long {
        while (decide(request, engines) is AdmissionDecision.Wait) nowMillis += CHECK_MILLIS
        assertInstanceOf(AdmissionDecision.Admit::class.java, decide(request, engines))
        return nowMillis - request.arrivedAtMillis
    }

    private fun assertAdmitted(
        request: AdmissionRequest,
        engines: List<Replica>,
    ) = assertEquals(AdmissionReason.CAPACITY, decide(request, engines).reason)

    // Requests that engines can read at once must not wait at their instance.
    @Test
    fun `at the usual load nothing waits`() {
        val engines = fleet(running = 3, prompts = 1)
        assertAdmitted(short(), engines)
        assertAdmitted(long(), engines)
    }

    // 177 of 1,083 short generations were late, since the long ones of a burst had taken the memory before them.
    @Test
    fun `in a burst of long jobs of 2,3 times for 7 s short ones are sent and long ones wait within their objective`() {
        val engines = fleet(running = 6, prompts = 1)
        assertAdmitted(short(), engines)
        val held = heldMillis(long(), engines)
        assertTrue(held in LONG_OBJECTIVE / 8..LONG_OBJECTIVE / 2 + CHECK_MILLIS, "held for $held ms")
    }

    // A long generation that yields whenever a short one comes would never start under a steady load of short ones.
    @Test
    fun `a long job with a later objective yields to short ones and is not starved`() {
        val held = heldMillis(long(), fleet(running = 7, prompts = 1))
        assertTrue(held <= LONG_OBJECTIVE / 2 + CHECK_MILLIS, "held for $held ms")
    }

    // What is too large for any threshold must still be sent.
    @Test
    fun `the largest request is sent to an engine that is not empty after its longest wait`() {
        val largest = long().copy(demand = GenerationDemand(20_000, 4_000))
        val held = heldMillis(largest, fleet(running = 5))
        assertTrue(held <= largest.longestWaitMillis + CHECK_MILLIS, "held for $held ms")
    }

    // The largest requests starved if they went after all others because no engine can meet their objective.
    @Test
    fun `only a request that an idle engine serves in time goes after the others once it is late`() {
        val engines = fleet(running = 1)
        val largest = long().copy(demand = GenerationDemand(17_000, 400), objectiveMillis = 2_000)
        assertEquals(false, (decide(largest, engines) as AdmissionDecision.Admit).isDeferrable)
        val late = long().copy(arrivedAtMillis = nowMillis - LONG_OBJECTIVE)
        assertEquals(true, (decide(late, engines) as AdmissionDecision.Admit).isDeferrable)
    }

    // A wave reaches each zone at another time, and the others have capacity then.
    @Test
    fun `a wave that fills the engines of one zone holds nothing while another zone is off its peak`() {
        assertAdmitted(long(), List(10) { engine(7, 2, "a") } + engine(2, 0, "b"))
    }

    // One workspace at ten times its share took the memory of all others.
    @Test
    fun `a workspace at ten times its share waits at a load at which others are served, and is served in its turn`() {
        val engines = fleet(running = 5)
        assertAdmitted(long(), engines)
        val excess = long(isInExcess = true)
        assertInstanceOf(AdmissionDecision.Wait::class.java, decide(excess, engines))
        assertTrue(heldMillis(excess, engines) <= LONG_OBJECTIVE / 2 + CHECK_MILLIS)
    }

    // Messages that are lost must not hold a request for longer, nor make it be refused.
    @Test
    fun `with loads that stay as they were a request is sent after its longest wait`() {
        val request = short()
        val engines = fleet(running = 8, prompts = 3)
        val held = heldMillis(request, engines)
        assertTrue(held <= request.objectiveMillis / 2 + CHECK_MILLIS, "held for $held ms")
    }

    // The work of instances that vanished ends at the engines, and the requests of the others must use its room.
    @Test
    fun `after a third of the instances vanished in a burst held requests are sent at the next change of load`() {
        val engines = fleet(running = 6, prompts = 2)
        val request = long()
        assertInstanceOf(AdmissionDecision.Wait::class.java, decide(request, engines))
        nowMillis += 100
        engines.forEach { load(it, running = 4, prompts = 1) }
        assertAdmitted(request, engines)
    }

    // Callers that are refused late, or together, cannot use the rest of their time.
    @Test
    fun `a request that would end after its deadline is refused at once and callers return spread`() {
        val engines = fleet(running = 30, prompts = 6)
        val refusals = List(100) { decide(short(), engines) as AdmissionDecision.Refuse }
        assertTrue(refusals.all { it.retryAfterMillis in 200..2_000 }, refusals.toString())
        assertTrue(refusals.map { it.retryAfterMillis }.toSet().size > 50)
        assertInstanceOf(AdmissionDecision.Wait::class.java, decide(long(), engines))
    }

    // Such a refusal costs as much as a broken stream.
    @Test
    fun `nothing is refused while fewer than half of the slots are taken and nothing waits`() {
        val hopeless = short().copy(deadlineMillis = nowMillis + 100)
        assertTrue(decide(hopeless, fleet(running = 6, prompts = 4)) !is AdmissionDecision.Refuse)
    }

    // An instance without usable engines would hold requests that the placement refuses at once.
    @Test
    fun `nothing waits for engines that are paused, or too small`() {
        val paused = engine(running = 7).also { it.pauseFor(1_000) }
        assertEquals(AdmissionReason.NO_CHOICE, decide(short(), listOf(paused)).reason)
        val oversized = long().copy(demand = GenerationDemand(30_000, 10))
        assertEquals(AdmissionReason.NO_CHOICE, decide(oversized, fleet(running = 7)).reason)
    }

    /**
     * Lets one engine drain a backlog of [requests] that waits at one instance, one long generation each 300 ms, and
     * returns the requests in the order in which they are sent.
     */
    private fun drain(requests: List<AdmissionRequest>): List<AdmissionRequest> {
        val replica = engine(running = 7)
        val waiters = requests.map(queue::enter).toMutableList()
        val sent = ArrayList<AdmissionRequest>()
        while (waiters.isNotEmpty()) {
            nowMillis += CHECK_MILLIS
            val freed = (nowMillis / 300).toInt()
            replica.load.remoteRunning = maxOf(0, 7 - freed)
            replica.load.remoteTokens = replica.load.remoteRunning * longDemand.tokens
            for (waiter in waiters.toList()) {
                if (queue.decide(waiter, listOf(replica), profile, nowMillis) is AdmissionDecision.Wait) continue
                queue.leave(waiter)
                waiters -= waiter
                sent += waiter.request
                replica.load.begin(waiter.request.demand.tokens)
            }
        }
        return sent
    }

    // In order of arrival the short ones, which came last, were late although there was time for all.
    @Test
    fun `a backlog after a burst drains in an order in which all are sent within half of their objective`() {
        val longs = List(3) { long().copy(deadlineMillis = 39_000L + it) }
        val shorts = List(3) { short().copy(deadlineMillis = 6_000L + it) }
        val sent = drain(longs + shorts)
        assertEquals(shorts, sent.take(3))
        assertEquals(longs.toSet(), sent.drop(3).toSet())
        assertTrue(nowMillis <= LONG_OBJECTIVE / 2 + CHECK_MILLIS, "the last one was sent after $nowMillis ms")
    }

    // A request that is late anyway would make those late that could still be in time.
    @Test
    fun `a request that can no longer meet its objective holds back none that can`() {
        val engines = listOf(engine(running = 4))
        val hopeless = queue.enter(short().copy(objectiveMillis = 200, arrivedAtMillis = -10))
        val other = queue.enter(long())
        queue.decide(hopeless, listOf(engine(running = 8)), profile, nowMillis)
        assertEquals(AdmissionReason.CAPACITY, queue.decide(other, engines, profile, nowMillis).reason)
        val urgent = queue.enter(short())
        assertEquals(AdmissionReason.HELD_BACK, queue.decide(other, engines, profile, nowMillis).reason)
        queue.leave(urgent)
        assertEquals(AdmissionReason.CAPACITY, queue.decide(other, engines, profile, nowMillis).reason)
    }

    // An instance that holds thousands of requests would spend its processor on deciding them.
    @Test
    fun `the number of held requests is bounded`() {
        val engines = fleet(running = 7)
        val waiters = List(100) { queue.enter(long()) }
        assertEquals(AdmissionReason.QUEUE_FULL, queue.decide(waiters.last(), engines, profile, nowMillis).reason)
    }

    private companion object {
        const val ENGINES = 31
        const val LONG_OBJECTIVE = 4_006L
        const val CHECK_MILLIS = 20L
    }
}
