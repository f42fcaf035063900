package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.GenerationDemand
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.platform.EngineProtocol
import io.sequoiawheel.platform.RunCopy
import io.sequoiawheel.platform.UnreadableDocumentException
import kotlinx.coroutines.delay

/** A copy of a running generation's KV cache, held by [destination]. */
internal class PlacedRunCopy(
    val destination: Replica,
    val copy: RunCopy,
)

/** The result of a request to copy a run. The class names are written to the log. */
internal sealed interface CopyResult {
    /** Returns the notification of the result to the generation of [attempt]. */
    fun signalFor(attempt: GenerationAttempt): GenerationSignal =
        when (this) {
            is Copied -> GenerationSignal.CopyReady(attempt, copy)
            is NoSuchRun -> GenerationSignal.CopyFailed(attempt, detail)
            is Refused -> GenerationSignal.CopyFailed(attempt, detail)
            is Unanswered -> GenerationSignal.CopyFailed(attempt, detail)
        }

    class Copied(
        val copy: PlacedRunCopy,
    ) : CopyResult

    /** The source replica is not running the request, at least not yet. */
    class NoSuchRun(
        val detail: String,
    ) : CopyResult

    class Refused(
        val detail: String,
    ) : CopyResult

    /** The source may still be copying the run, and refuses to stop it until the copy ends. */
    class Unanswered(
        val detail: String,
    ) : CopyResult
}

/** Asks replicas to copy running generations to other replicas. Confined to the event loop. */
internal class RunCopier(
    private val context: RelayContext,
    private val calls: EngineCalls,
) {
    /** Number of copies of this instance in progress, by their source. */
    private val inProgress = HashMap<Replica, Int>()

    /** Returns a replica to hold a continuously updated copy of a run on [source], or null if none has room. */
    fun chooseBackup(
        source: Replica,
        excluded: Set<Replica>,
        service: RelayService,
        demand: GenerationDemand,
    ): Replica? {
        val engine = service.engine?.takeIf { it.supportsBackup } ?: return null
        val candidates = context.copyCandidates(service, source, excluded + source)
        return context.selection.forCopy(candidates, demand, engine, source.entry.zone, isUrgent = false)
    }

    /** Returns a replica to which a run on [source] can be moved at once, or null if none has room. */
    fun chooseDestination(
        source: Replica,
        excluded: Set<Replica>,
        service: RelayService,
        demand: GenerationDemand,
    ): Replica? {
        val engine = service.engine?.takeIf { it.supportsMigration } ?: return null
        val candidates = context.copyCandidates(service, source, excluded + source)
        return context.selection.forCopy(candidates, demand, engine, source.entry.zone, isUrgent = true)
    }

    /** Returns the copy that [backup] holds of the run of [requestId]. */
    fun backupCopy(
        backup: Replica,
        requestId: String,
    ) = PlacedRunCopy(backup, EngineProtocol.backupCopy(EngineCalls.endpoint(backup), requestId))

    /**
     * Copies the run of [requestId] from the leaving replica of [attempt] to another one. A destination without room
     * refuses at once, so the next one is tried without delay. Once all have refused, or while the run has not started,
     * the copy is retried after a delay.
     */
    suspend fun migrate(
        requestId: String,
        attempt: GenerationAttempt,
        excluded: Set<Replica>,
        service: RelayService,
        demand: GenerationDemand,
    ): CopyResult {
        val engine = service.engine ?: return CopyResult.Refused("service ${service.name} has no model engine")
        val source = attempt.replica
        var result: CopyResult = CopyResult.Refused("no replica has room for a copy")
        val refusingReplicas = HashSet<Replica>()
        repeat(COPY_ATTEMPTS) {
            val candidates = context.copyCandidates(service, source, excluded + source + refusingReplicas)
            val destination =
                context.selection.forCopy(candidates, demand, engine, source.entry.zone, isUrgent = true)
                    ?: context.selection.forGeneration(candidates, demand, engine)
            if (destination != null) result = copyAndCatchUp(requestId, source, destination)
            if (result is CopyResult.Copied || attempt.isFinished) return result
            if (destination != null && result is CopyResult.Refused) {
                refusingReplicas += destination
            } else {
                refusingReplicas.clear()
                delay(COPY_RETRY_DELAY_MILLIS)
            }
        }
        return result
    }

    /**
     * Copies a run. If that took long, copies it again to include the tokens generated meanwhile, so that the
     * destination has few tokens to recompute. The second copy is skipped if the source may exit before it completes,
     * or if it would wait for other copies: the source refuses to stop the run until it ends.
     */
    private suspend fun copyAndCatchUp(
        requestId: String,
        source: Replica,
        destination: Replica,
    ): CopyResult {
        if (context.waitMillis(source) > 0) return CopyResult.Refused("$source accepts no requests now")
        destination.load.beginCopy()
        inProgress.merge(source, 1, Int::plus)
        try {
            return copyTwice(requestId, source, destination)
        } finally {
            inProgress.computeIfPresent(source) { _, count -> (count - 1).takeIf { it > 0 } }
            destination.load.endCopy()
        }
    }

    private suspend fun copyTwice(
        requestId: String,
        source: Replica,
        destination: Replica,
    ): CopyResult {
        val startedMillis = context.clock.nowMillis()
        val first = copy(requestId, source, destination)
        val firstMillis = context.clock.nowMillis() - startedMillis
        context.log.request(
            "run copied",
            mapOf(
                "request" to requestId,
                "source" to source.toString(),
                "destination" to destination.toString(),
                "milliseconds" to firstMillis,
                "outcome" to first.javaClass.simpleName,
            ),
        )
        val sinceNoticeMillis = source.leavingSinceMillis?.let { context.clock.nowMillis() - it } ?: 0
        val isWorthwhile = firstMillis in SECOND_COPY_MILLIS && sinceNoticeMillis < SECOND_COPY_CUTOFF_MILLIS
        val isAlone = inProgress[source] == 1
        if (first !is CopyResult.Copied || !isWorthwhile || !isAlone) return first
        // The run could not be stopped while its second copy is in progress, so that its end is awaited.
        val second = copy(requestId, source, destination)
        return if (second is CopyResult.Copied || second is CopyResult.Unanswered) second else first
    }

    /** Copies the run of [requestId] from [source] to [destination] without stopping it. */
    private suspend fun copy(
        requestId: String,
        source: Replica,
        destination: Replica,
    ): CopyResult =
        when (val result = calls.copyRun(requestId, source, destination, COPY_TIMEOUT_MILLIS)) {
            is EngineResult.Unreachable -> CopyResult.Refused(result.detail)
            is EngineResult.NoResponse -> CopyResult.Unanswered(result.detail)
            is EngineResult.HeldBack -> CopyResult.Refused(result.detail)
            is EngineResult.Response ->
                when (result.status) {
                    OK -> decode(source, destination, result.text)
                    NOT_FOUND -> CopyResult.NoSuchRun("$source is not running the request")
                    else -> CopyResult.Refused("$source responded with status ${result.status}")
                }
        }

    private fun decode(
        source: Replica,
        destination: Replica,
        text: String,
    ): CopyResult =
        try {
            EngineProtocol
                .decodeCopy(EngineCalls.endpoint(source), text)
                ?.let { CopyResult.Copied(PlacedRunCopy(destination, it)) }
                ?: CopyResult.Refused("the response does not identify a copy")
        } catch (unreadable: UnreadableDocumentException) {
            CopyResult.Refused("unreadable response: ${unreadable.message}")
        }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404

        /** A leaving replica exits about two seconds after its notice. */
        const val COPY_TIMEOUT_MILLIS = 2_500L

        /**
         * Duration of a first copy after which a second one is worthwhile. A run generates about eight tokens in the
         * shortest one, which are cheaper to recompute than to copy. A longer one waited for copies of other instances,
         * as a second one would.
         */
        val SECOND_COPY_MILLIS = 61L..250L

        /** A replica exits 1.5 s after its notice at the earliest. */
        const val SECOND_COPY_CUTOFF_MILLIS = 1_200L

        /** As many attempts as fit into the time before a leaving replica exits. */
        const val COPY_ATTEMPTS = 30
        const val COPY_RETRY_DELAY_MILLIS = 120L
    }
}
