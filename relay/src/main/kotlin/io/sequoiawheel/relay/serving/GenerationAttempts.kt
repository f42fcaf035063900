package io.sequoiawheel.relay.serving

import io.sequoiawheel.core.relay.Delivery
import io.sequoiawheel.core.relay.Placement
import io.sequoiawheel.core.relay.RelayService
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaStream
import io.sequoiawheel.core.scheduling.PriorityClasses
import io.sequoiawheel.platform.Headers
import io.sequoiawheel.relay.filter.Exchange
import kotlinx.coroutines.channels.SendChannel

/**
 * Creates the attempts of one generation.
 *
 * @param wantsBackup whether the runs keep a copy of themselves at another replica while they grow
 */
internal class GenerationAttempts(
    private val context: RelayContext,
    private val copier: RunCopier,
    private val exchange: Exchange,
    private val service: RelayService,
    private val delivery: Delivery,
    private val wantsBackup: Boolean,
    private val signals: SendChannel<GenerationSignal>,
) {
    private var lastReplica: Replica? = null
    private val usedBackups = HashSet<Replica>()

    /** Places an attempt with [place] among the replicas of the versions that rollouts allow. */
    fun place(
        purpose: SendPurpose,
        place: (List<Replica>) -> Placement,
    ): Placement {
        val source = lastReplica?.takeIf { delivery.delivered > 0 }
        return context.place(service, purpose == SendPurpose.FIRST_ATTEMPT, source, place)
    }

    /** Creates an attempt that runs the generation from its beginning, or goes on after the events delivered so far. */
    fun create(
        replica: Replica,
        abandoned: Set<Replica>,
        purpose: SendPurpose,
    ): GenerationAttempt {
        val resumeAfter = delivery.lastId?.takeIf { delivery.delivered > 0 }
        val headers = resumeAfter?.let { mapOf(Headers.LAST_EVENT_ID to it.toString()) }.orEmpty()
        return create(replica, headers, abandoned, purpose)
    }

    /** Returns the replica on whose backup of [attempt]'s run the generation may go on now, or null. */
    fun usableBackup(attempt: GenerationAttempt): Replica? =
        attempt.backup?.takeIf {
            attempt.hasStarted && it !in usedBackups && context.mayMove(attempt.replica, it)
        }

    /** Returns the [usableBackup] of [attempt], which is used up by that. */
    fun takeBackup(attempt: GenerationAttempt): Replica? = usableBackup(attempt)?.also(usedBackups::add)

    /** Creates an attempt that continues from [copy]. */
    fun continuation(
        copy: PlacedRunCopy,
        abandoned: Set<Replica>,
    ): GenerationAttempt {
        val headers =
            mapOf(
                Headers.CONTINUE_FROM to copy.copy.headerValue,
                Headers.LAST_EVENT_ID to (delivery.lastId ?: 0).toString(),
            )
        return create(copy.destination, headers, abandoned, SendPurpose.CONTINUATION)
    }

    private fun create(
        replica: Replica,
        headers: Map<String, String>,
        abandoned: Set<Replica>,
        purpose: SendPurpose,
    ): GenerationAttempt {
        lastReplica = replica
        val demand = exchange.demand
        val backup = if (wantsBackup) copier.chooseBackup(replica, abandoned, service, demand) else null
        val backupHeader = backup?.let { mapOf(Headers.BACKUP_REPLICA to it.entry.address) }.orEmpty()
        exchange.logFields += context.pace.expectation(replica, demand, service.engine)
        val stream = ReplicaStream(delivery, headers[Headers.LAST_EVENT_ID]?.toLongOrNull())
        return GenerationAttempt(
            context,
            exchange,
            replica,
            demand,
            backup,
            stream,
            headers + backupHeader + priorityHeader(replica, headers),
            context.pace.observe(replica, service.engine),
            purpose,
            signals,
        )
    }

    /** Returns the class with which the engine orders the generation, where callers compete for its capacity. */
    private fun priorityHeader(
        replica: Replica,
        headers: Map<String, String>,
    ): Map<String, String> {
        val engine = service.engine?.takeIf { context.sharesCapacity(service) } ?: return emptyMap()
        val priority =
            if (Headers.CONTINUE_FROM in headers || delivery.delivered > 0) {
                PriorityClasses.CONTINUATION
            } else {
                PriorityClasses.ofNew(exchange.rank, exchange.demand, replica.load, engine, exchange.isDeferrable)
            }
        exchange.logFields["priorityClass"] = priority
        return mapOf(Headers.PRIORITY to priority.toString())
    }
}
