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
 * Applies accepted documents. The watchers of a zone watch the object API; every instance relays new documents down the
 * zone's tree, whichever source they came from.
 */
internal class ConfigurationController(
    private val objects: ObjectApi,
    private val applied: AppliedConfiguration,
    private val tree: ZoneTree,
    private val backoff: FullJitterBackoff,
) : Documents {
    /** Relays documents to other instances; must be set before [run]. */
    var relay: suspend (List<AcceptedDocument>) -> Unit = {}

    @Volatile
    private var isLoaded = false

    override val isKnown: Boolean get() = isLoaded || !applied.isEmpty

    override fun find(service: ServiceName): ServiceDocument? = applied.of(service)

    /** Watches the object API while this instance is a watcher, until cancelled. */
    suspend fun run() {
        while (true) {
            if (tree.isWatcher && !watchChanges()) delay(maxOf(backoff.nextDelayMillis(), MINIMUM_PAUSE_MILLIS))
            if (!tree.isWatcher) delay(ROLE_CHECK_MILLIS)
        }
    }

    /** Reads and applies all accepted documents once; returns whether the object API answered. */
    suspend fun loadAll(): Boolean = loadListing() != null

    /** Applies those of [documents] that are newer than the ones in force, and relays them. */
    suspend fun applyDocuments(documents: List<AcceptedDocument>) {
        val newer = documents.filter(applied::apply)
        if (documents.isNotEmpty()) isLoaded = true
        if (newer.isEmpty()) return
        newer.forEach { logger.info { "applied generation ${it.generation} of service ${it.service}" } }
        relay(newer)
    }

    /** Records that the configuration is known, even if it contains no documents. */
    fun markLoaded() {
        isLoaded = true
    }

    private suspend fun watchChanges(): Boolean {
        var revision = loadListing() ?: return false
        backoff.reset()
        while (tree.isWatcher) {
            val changes = objects.watch(ObjectKind.ACCEPTED, revision, WATCH_MILLIS).getOrNull() ?: return false
            applyDocuments(decode(changes.objects))
            revision = changes.revision
        }
        return true
    }

    private suspend fun loadListing(): Long? {
        val listing = objects.list(ObjectKind.ACCEPTED).getOrNull() ?: return null
        applyDocuments(decode(listing.objects))
        markLoaded()
        return listing.revision
    }

    private fun decode(objects: List<StoredObject>): List<AcceptedDocument> =
        objects.mapNotNull { stored ->
            AcceptedDocument
                .decode(stored.value)
                .onLeft { logger.error { "cannot decode accepted document ${stored.key.name}: ${it.detail}" } }
                .getOrNull()
        }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val WATCH_MILLIS = 25_000L
        const val ROLE_CHECK_MILLIS = 1_000L
        const val MINIMUM_PAUSE_MILLIS = 50L
    }
}
