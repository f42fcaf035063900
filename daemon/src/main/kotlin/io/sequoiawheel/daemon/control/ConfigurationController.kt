package io.sequoiawheel.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import io.sequoiawheel.core.configuration.AcceptedDocument
import io.sequoiawheel.core.configuration.AppliedConfiguration
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.StoredObject
import io.sequoiawheel.daemon.http.Documents
import io.sequoiawheel.objectapi.FullJitterBackoff
import kotlinx.coroutines.delay

/**
 * Brings accepted documents into force. The watchers of a zone follow the object API; everything new is relayed down
 * the zone's tree, whoever learned it first.
 */
internal class ConfigurationController(
    private val objects: ObjectApi,
    private val applied: AppliedConfiguration,
    private val tree: ZoneTree,
    private val backoff: FullJitterBackoff,
) : Documents {
    /** Relays documents to other instances; set before [run]. */
    var relay: suspend (List<AcceptedDocument>) -> Unit = {}

    @Volatile
    private var learned = false

    override val isKnown: Boolean get() = learned || !applied.isEmpty

    override fun find(service: ServiceName): ServiceDocument? = applied.of(service)

    /** Follows the object API while this instance is a watcher, until cancelled. */
    suspend fun run() {
        while (true) {
            if (tree.isWatcher && !follow()) delay(maxOf(backoff.nextDelayMillis(), MINIMUM_PAUSE_MILLIS))
            if (!tree.isWatcher) delay(ROLE_CHECK_MILLIS)
        }
    }

    /** Reads every accepted document once; returns whether the object API answered. */
    suspend fun readAll(): Boolean = readListing() != null

    /** Puts [documents] in force as far as they are newer, and relays those that are. */
    suspend fun take(documents: List<AcceptedDocument>) {
        val fresh = documents.filter(applied::apply)
        if (documents.isNotEmpty()) learned = true
        if (fresh.isEmpty()) return
        fresh.forEach { logger.info { "generation ${it.generation} of ${it.service} is in force" } }
        relay(fresh)
    }

    /** Notes that a peer or the platform said that there is no document. */
    fun noteEmpty() {
        learned = true
    }

    private suspend fun follow(): Boolean {
        var revision = readListing() ?: return false
        backoff.reset()
        while (tree.isWatcher) {
            val changes = objects.watch(ObjectKind.ACCEPTED, revision, WATCH_MILLIS).getOrNull() ?: return false
            take(decode(changes.objects))
            revision = changes.revision
        }
        return true
    }

    private suspend fun readListing(): Long? {
        val listing = objects.list(ObjectKind.ACCEPTED).getOrNull() ?: return null
        take(decode(listing.objects))
        noteEmpty()
        return listing.revision
    }

    private fun decode(objects: List<StoredObject>): List<AcceptedDocument> =
        objects.mapNotNull { stored ->
            AcceptedDocument
                .decode(stored.value)
                .onLeft { logger.error { "accepted document ${stored.key.name}: ${it.detail}" } }
                .getOrNull()
        }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val WATCH_MILLIS = 25_000L
        const val ROLE_CHECK_MILLIS = 1_000L
        const val MINIMUM_PAUSE_MILLIS = 50L
    }
}
