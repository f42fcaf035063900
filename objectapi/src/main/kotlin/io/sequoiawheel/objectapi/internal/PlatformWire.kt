package io.sequoiawheel.objectapi.internal

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.ObjectListing
import io.sequoiawheel.core.platform.StoredObject
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The JSON bodies of the platform's protocol. Values of objects travel as strings, so that their text is kept. */
internal object PlatformWire {
    /** Ignores fields that a newer platform may add. */
    val json = Json { ignoreUnknownKeys = true }

    @Serializable
    data class ObjectBody(
        val version: Long,
        val value: String,
    )

    @Serializable
    data class VersionBody(
        val version: Long,
    )

    /** An object of a listing; [value] is absent if the object was deleted. */
    @Serializable
    data class NamedObject(
        val name: String,
        val version: Long,
        val value: String? = null,
    )

    @Serializable
    data class ListBody(
        val revision: Long,
        val objects: List<NamedObject>,
    )

    @Serializable
    data class WatchBody(
        val revision: Long,
        val changes: List<NamedObject>,
    )

    @Serializable
    data class InstancesBody(
        val instances: List<Instance>,
    )

    @Serializable
    data class RateBody(
        val retryAfterMillis: Long? = null,
    )

    /** Returns the listing of the objects that exist; deletions only advance the revision. */
    fun listing(
        kind: ObjectKind,
        revision: Long,
        objects: List<NamedObject>,
    ): ObjectListing {
        val stored =
            objects.mapNotNull { named ->
                named.value?.let { StoredObject(ObjectKey(kind, named.name), named.version, it) }
            }
        return ObjectListing(revision, stored.toImmutableList())
    }
}
