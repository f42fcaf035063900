package io.sequoiawheel.standin.store

import kotlinx.serialization.Serializable

/** The JSON bodies of the object API. */
internal object StoreWire {
    @Serializable
    data class ObjectBody(
        val version: Long,
        val value: String,
    )

    @Serializable
    data class VersionBody(
        val version: Long,
    )

    @Serializable
    data class NamedObject(
        val name: String,
        val version: Long,
        val value: String,
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
}
