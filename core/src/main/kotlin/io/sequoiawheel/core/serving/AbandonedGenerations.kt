package io.sequoiawheel.core.serving

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.RequestId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/**
 * Generations whose caller has disconnected. After the resume window each one is cancelled at its engine, unless it was
 * resumed here or is being read through another entry instance. It holds its capacity here until then. Thread-safe.
 */
class AbandonedGenerations(
    private val scope: CoroutineScope,
    private val engines: EngineGateway,
) {
    private val entries = ConcurrentHashMap<RequestId, Entry>()

    /** Cancels [generation] after [windowMillis] and then runs [onEnd]. */
    fun add(
        replica: Instance,
        generation: RequestId,
        windowMillis: Long,
        onEnd: () -> Unit,
    ) {
        val job =
            scope.launch(start = CoroutineStart.LAZY) {
                delay(windowMillis)
                engines.cancelUnattended(replica, generation)
            }
        val entry = Entry(job, onEnd)
        entries[generation] = entry
        job.invokeOnCompletion { if (entries.remove(generation, entry)) onEnd() }
        job.start()
    }

    /** Stops the pending cancellation of [generation] and returns its `onEnd` callback, or null if there is none. */
    fun reclaim(generation: RequestId): (() -> Unit)? {
        val entry = entries.remove(generation) ?: return null
        entry.job.cancel()
        return entry.onEnd
    }

    /** Suspends until no abandoned generation is left. */
    suspend fun awaitEmpty() {
        while (entries.isNotEmpty()) entries.values.map { it.job }.joinAll()
    }

    private class Entry(
        val job: Job,
        val onEnd: () -> Unit,
    )
}
