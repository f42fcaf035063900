package io.sequoiawheel.experiment.outage

import io.sequoiawheel.core.claim.ClaimAnswer
import io.sequoiawheel.core.claim.ClaimDecision
import io.sequoiawheel.core.claim.ClaimKey
import io.sequoiawheel.core.claim.ClaimRegistry
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.history.HistoryRecorder
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.routing.Backoff
import io.sequoiawheel.experiment.virtual.VirtualTime
import io.sequoiawheel.standin.store.ObjectStoreModel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Simulates the fleet's use of the object API: watches on accepted documents and claims of non-idempotent calls. */
internal class OutageSimulation(
    seed: Long,
    private val policy: OutagePolicy,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    val history = HistoryRecorder()
    val store = ObjectStoreModel(clock, VirtualTime.random(seed, "store"), scope = scope)
    private val random = VirtualTime.random(seed, "duties")
    private val backoff = Backoff(baseMillis = 100, maximumMillis = 20_000)
    private var claimCount = 0

    /** Results of call attempts: start time, result code, and response time in milliseconds. */
    val callResults = mutableListOf<Triple<Long, ResultCode, Long>>()

    private val registries =
        List(INSTANCES) { number ->
            ClaimRegistry(store, InstanceId("e$number"), clock, { true }, { "$number-${claimCount++}" })
        }

    fun start() {
        val watchers = if (policy.allInstancesWatch) INSTANCES else WATCHER_COUNT
        repeat(watchers) { scope.launch { watch() } }
        registries.forEach { scope.launch { it.retryPendingWrites() } }
    }

    private suspend fun watch() {
        delay(random.nextLong(WATCH_TIMEOUT_MILLIS))
        var revision = 0L
        var failures = 0
        while (true) {
            store.watch(ObjectKind.ACCEPTED, revision, WATCH_TIMEOUT_MILLIS).fold({ failures++ }, {
                failures = 0
                revision = it.revision
            })
            if (failures > 0) delay(if (policy.usesBackoff) backoff.delayMillis(failures, random) else RETRY_MILLIS)
        }
    }

    /** Sends the call [key], and retries it after the advised delay until it succeeds or reaches the attempt limit. */
    suspend fun call(
        key: String,
        firstInstance: Int,
    ) {
        repeat(MAXIMUM_ATTEMPTS) { attempt ->
            val request = RequestId("$key-$attempt")
            val startMillis = clock.nowMillis()
            history.record(HistoryEvent.CallStarted(startMillis, request, key))
            val failure = handle(key, request, registries[(firstInstance + attempt) % INSTANCES])
            val code = failure?.code ?: ResultCode.OK
            callResults += Triple(startMillis, code, clock.nowMillis() - startMillis)
            history.record(HistoryEvent.CallEnded(clock.nowMillis(), request, code))
            if (failure == null) return
            delay((failure.retryAfterMillis ?: RETRY_MILLIS) + random.nextLong(RETRY_MILLIS))
        }
    }

    private suspend fun handle(
        key: String,
        request: RequestId,
        registry: ClaimRegistry,
    ): Failure? {
        val claimKey = ClaimKey(ServiceName("desk"), WorkspaceName("w"), "record", key)
        return when (val decision = registry.claim(claimKey, "digest", RETENTION_MILLIS, CLAIM_TIMEOUT_MILLIS)) {
            is ClaimDecision.Rejected -> decision.failure
            is ClaimDecision.Recorded -> null
            is ClaimDecision.Granted -> {
                history.record(HistoryEvent.RunStarted(clock.nowMillis(), request, replica))
                delay(RUN_MILLIS)
                history.record(HistoryEvent.RunEnded(clock.nowMillis(), request, replica))
                scope.launch { registry.complete(decision.ticket, ClaimAnswer(ResultCode.OK.number, 200, "{}")) }
                null
            }
        }
    }

    companion object {
        const val INSTANCES = 340
        private const val WATCHER_COUNT = 10
        private const val WATCH_TIMEOUT_MILLIS = 30_000L
        private const val RETRY_MILLIS = 1_000L
        private const val MAXIMUM_ATTEMPTS = 8
        private const val CLAIM_TIMEOUT_MILLIS = 5_000L
        private const val RUN_MILLIS = 50L
        private const val RETENTION_MILLIS = 86_400_000L
        private val replica = InstanceId("desk")
    }
}
