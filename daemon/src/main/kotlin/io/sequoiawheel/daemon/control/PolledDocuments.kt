package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.daemon.http.Documents
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Accepted documents as read from the object API at intervals. */
internal class PolledDocuments(
    private val objects: ObjectApi,
) : Documents {
    @Volatile
    private var accepted: Map<ServiceName, Accepted>? = null

    override val isKnown: Boolean get() = accepted != null

    override fun find(service: ServiceName): ServiceDocument? =
        accepted?.get(service)?.document?.takeUnless { it.deleted }

    /** Reads until cancelled. */
    suspend fun run() {
        while (true) {
            objects.list(ObjectKind.ACCEPTED).onRight { listing ->
                val records = listing.objects.map { json.decodeFromString(Accepted.serializer(), it.value) }
                accepted = records.associateBy { it.document.service }
            }
            delay(INTERVAL_MILLIS)
        }
    }

    @Serializable
    private class Accepted(
        val generation: Long,
        val document: ServiceDocument,
    )

    private companion object {
        const val INTERVAL_MILLIS = 1_000L
        val json = Json { ignoreUnknownKeys = true }
    }
}
