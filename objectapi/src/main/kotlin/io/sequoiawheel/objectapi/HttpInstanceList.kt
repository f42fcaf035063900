package io.sequoiawheel.objectapi

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.http.encodeURLPathPart
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.platform.InstanceList
import io.sequoiawheel.objectapi.internal.PlatformCall
import io.sequoiawheel.objectapi.internal.PlatformReply
import io.sequoiawheel.objectapi.internal.PlatformWire
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Client of the instance list at [baseUrl] over HTTP. Thread-safe. */
class HttpInstanceList(
    private val baseUrl: String,
    private val transport: PlatformTransport,
) : InstanceList {
    override suspend fun read(): Either<Failure, ImmutableList<Instance>> =
        transport.exchange(PlatformCall("GET", "$baseUrl/instances")).flatMap { reply ->
            if (!reply.isSuccess) return@flatMap reply.unexpectedStatus().left()
            reply.decode(PlatformWire.InstancesBody.serializer()).map { it.instances.toImmutableList() }
        }

    /** Registers [instance], or renews its registration and updates its state; fails with `PLATFORM_UNAVAILABLE`. */
    suspend fun register(instance: Instance): Either<Failure, Unit> {
        val body = PlatformWire.json.encodeToString(Instance.serializer(), instance)
        return transport.exchange(PlatformCall("PUT", url(instance.id), body)).flatMap(::unitOrFailure)
    }

    /** Removes the instance [id], or fails with `PLATFORM_UNAVAILABLE`. Succeeds if the instance is not registered. */
    suspend fun remove(id: InstanceId): Either<Failure, Unit> =
        transport.exchange(PlatformCall("DELETE", url(id))).flatMap(::unitOrFailure)

    private fun url(id: InstanceId) = "$baseUrl/instances/${id.value.encodeURLPathPart()}"

    private fun unitOrFailure(reply: PlatformReply): Either<Failure, Unit> =
        if (reply.isSuccess) Unit.right() else reply.unexpectedStatus().left()
}
