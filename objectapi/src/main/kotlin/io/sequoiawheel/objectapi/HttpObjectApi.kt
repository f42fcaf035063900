package io.sequoiawheel.objectapi

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.http.encodeURLPathPart
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.ObjectListing
import io.sequoiawheel.core.platform.StoredObject
import io.sequoiawheel.objectapi.internal.PlatformCall
import io.sequoiawheel.objectapi.internal.PlatformReply
import io.sequoiawheel.objectapi.internal.PlatformWire

/** Client of the object API at [baseUrl] over HTTP. Thread-safe. */
class HttpObjectApi(
    private val baseUrl: String,
    private val transport: PlatformTransport,
) : ObjectApi {
    override suspend fun get(key: ObjectKey): Either<Failure, StoredObject> =
        transport.exchange(PlatformCall("GET", url(key))).flatMap { reply ->
            when {
                reply.isSuccess ->
                    reply.decode(PlatformWire.ObjectBody.serializer()).map { StoredObject(key, it.version, it.value) }

                reply.status == NOT_FOUND -> notFound(key).left()
                else -> reply.unexpectedStatus().left()
            }
        }

    override suspend fun list(kind: ObjectKind): Either<Failure, ObjectListing> =
        transport.exchange(PlatformCall("GET", "$baseUrl/objects/${kind.path}")).flatMap { reply ->
            if (!reply.isSuccess) return@flatMap reply.unexpectedStatus().left()
            reply.decode(PlatformWire.ListBody.serializer()).map {
                PlatformWire.listing(kind, it.revision, it.objects)
            }
        }

    override suspend fun put(
        key: ObjectKey,
        value: String,
        expectedVersion: Long,
    ): Either<Failure, Long> =
        transport
            .exchange(PlatformCall("PUT", url(key), value, expectedVersion))
            .flatMap { reply ->
                if (!reply.isSuccess) return@flatMap writeFailure(key, reply).left()
                reply.decode(PlatformWire.VersionBody.serializer()).map { it.version }
            }

    override suspend fun delete(
        key: ObjectKey,
        expectedVersion: Long,
    ): Either<Failure, Unit> =
        transport
            .exchange(PlatformCall("DELETE", url(key), expectedVersion = expectedVersion))
            .flatMap { reply -> if (reply.isSuccess) Unit.right() else writeFailure(key, reply).left() }

    override suspend fun watch(
        kind: ObjectKind,
        revision: Long,
        waitMillis: Long,
    ): Either<Failure, ObjectListing> {
        val url = "$baseUrl/watch/${kind.path}?after=$revision&waitMillis=$waitMillis"
        return transport.exchange(PlatformCall("GET", url, waitMillis = waitMillis)).flatMap { reply ->
            if (!reply.isSuccess) return@flatMap reply.unexpectedStatus().left()
            reply.decode(PlatformWire.WatchBody.serializer()).map {
                PlatformWire.listing(kind, it.revision, it.changes)
            }
        }
    }

    private fun url(key: ObjectKey) = "$baseUrl/objects/${key.kind.path}/${key.name.encodeURLPathPart()}"

    private fun notFound(key: ObjectKey) =
        Failure(ResultCode.OBJECT_NOT_FOUND, "object ${key.kind.path}/${key.name} does not exist")

    private fun writeFailure(
        key: ObjectKey,
        reply: PlatformReply,
    ): Failure =
        when (reply.status) {
            NOT_FOUND -> notFound(key)
            CONFLICT ->
                Failure(ResultCode.DOCUMENT_CONFLICT, "object ${key.kind.path}/${key.name} has a different version")

            else -> reply.unexpectedStatus()
        }

    private companion object {
        const val NOT_FOUND = 404
        const val CONFLICT = 409
    }
}
