package io.sequoiawheel.objectapi.internal

import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.ObjectListing
import io.sequoiawheel.core.platform.StoredObject
import kotlinx.collections.immutable.toImmutableList
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON bodies of the platform's protocol. Object values are encoded as strings, which preserves their exact text. */
internal object PlatformWire {
    /** Ignores unknown fields, which a newer version of the platform may add. */
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

    /** An object in a listing or watch; [value] is null if the object was deleted. */
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

    /** Returns a listing of the existing objects; deleted ones are omitted and only advance the revision. */
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
