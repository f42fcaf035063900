package io.sequoiawheel.relay.control

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.platform.StoreKind
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.serialization.json.JsonObject

/** What became of a write of a status; [label] is the value in metrics. */
internal enum class StatusWriteOutcome(
    val label: String,
) {
    WRITTEN("written"),

    /** The object has another revision, which the watch reports, unless the store lost the other write. */
    CONFLICT("conflict"),

    /** The store did not answer, or did nothing. The write may be done later if the revision is still the same. */
    UNKNOWN("unknown"),
}

/**
 * Writes the status of rollouts, one write for each object at a time and not more often than [RETRY_MILLIS], since each
 * call has a price. Confined to the event loop.
 */
internal class RolloutStatusWriter(
    private val store: StoreClient,
    private val scope: CoroutineScope,
    private val clock: Clock,
) {
    private class Attempt(
        val status: JsonObject,
        val revision: Long,
        val atMillis: Long,
        var outcome: StatusWriteOutcome? = null,
    )

    private val attempts = HashMap<String, Attempt>()

    /**
     * Writes [status] if the object [name] still has [revision], unless the same write is in progress, was done, or
     * failed a moment ago. Reports the outcome to [onOutcome].
     */
    fun write(
        name: String,
        status: JsonObject,
        revision: Long,
        onOutcome: (StatusWriteOutcome) -> Unit,
    ) {
        val last = attempts[name]
        if (last != null && !isDue(last, status, revision)) return
        val attempt = Attempt(status, revision, clock.nowMillis())
        attempts[name] = attempt
        scope.launch {
            val outcome =
                store.replaceStatus(StoreKind.ROLLOUTS, name, status, revision).fold({
                    if (it is StoreFailure.Conflict) StatusWriteOutcome.CONFLICT else StatusWriteOutcome.UNKNOWN
                }, { StatusWriteOutcome.WRITTEN })
            attempt.outcome = outcome
            onOutcome(outcome)
        }
    }

    /** Forgets the writes of [name], which a restored store may have lost, and whose revisions it assigns again. */
    fun forget(name: String) {
        attempts.remove(name)
    }

    private fun isDue(
        last: Attempt,
        status: JsonObject,
        revision: Long,
    ): Boolean {
        val outcome = last.outcome ?: return false
        val isSameWrite =
            last.revision == revision &&
                last.status["state"] == status["state"] &&
                last.status["stage"] == status["stage"]
        val ageMillis = clock.nowMillis() - last.atMillis
        return when (outcome) {
            StatusWriteOutcome.WRITTEN -> !isSameWrite
            StatusWriteOutcome.UNKNOWN -> ageMillis >= RETRY_MILLIS
            // The revision in force arrives by the watch, with which the write is another one.
            StatusWriteOutcome.CONFLICT -> !isSameWrite || ageMillis >= CONFLICT_RETRY_MILLIS
        }
    }

    private companion object {
        /** A store that is down for a moment is back within some of these; an order takes some seconds. */
        const val RETRY_MILLIS = 400L

        /** The watch reports another revision within 400 ms; without one, the other write was lost. */
        const val CONFLICT_RETRY_MILLIS = 1_000L
    }
}
