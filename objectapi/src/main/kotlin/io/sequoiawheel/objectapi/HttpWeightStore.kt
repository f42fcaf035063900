package io.sequoiawheel.objectapi

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.ktor.http.encodeURLPathPart
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.WeightStore
import io.sequoiawheel.objectapi.internal.PlatformCall
import io.sequoiawheel.objectapi.internal.PlatformReply
import io.sequoiawheel.objectapi.internal.PlatformWire

/** Client of the weight store at [baseUrl] over HTTP. Thread-safe. */
class HttpWeightStore(
    private val baseUrl: String,
    private val transport: PlatformTransport,
) : WeightStore {
    override suspend fun requestLoad(weight: String): Either<Failure, Unit> {
        val url = "$baseUrl/weights/${weight.encodeURLPathPart()}"
        return transport.exchange(PlatformCall("POST", url, isObjectCall = false)).flatMap { reply ->
            when {
                reply.isSuccess -> Unit.right()
                reply.status == TOO_MANY_LOADS -> rateExceeded(weight, reply).left()
                else -> reply.unexpectedStatus().left()
            }
        }
    }

    private fun rateExceeded(
        weight: String,
        reply: PlatformReply,
    ): Failure {
        val body = reply.decode(PlatformWire.RateBody.serializer()).getOrElse { PlatformWire.RateBody() }
        return Failure(
            ResultCode.WEIGHT_RATE_EXCEEDED,
            "the weight store rejected the load of $weight: load rate exceeded",
            body.retryAfterMillis,
        )
    }

    private companion object {
        const val TOO_MANY_LOADS = 429
    }
}
