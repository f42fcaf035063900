package io.sequoiawheel.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.request.get
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.TextContent
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.order.EngineOrders
import io.sequoiawheel.core.order.HeldOrder
import io.sequoiawheel.core.order.Order
import io.sequoiawheel.core.serving.DispatchException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** Sends orders to engines and reads them back over HTTP. */
class HttpEngineOrders(
    private val client: BackendClient,
) : EngineOrders {
    override suspend fun put(
        replica: Instance,
        order: Order,
        fencing: Long,
    ): Either<Failure, Unit> =
        callEngine {
            val path = order.target.split('/').joinToString("/") { it.encodeURLPathPart() }
            val body = EngineWire.json.encodeToString(OrderBody.serializer(), OrderBody(fencing, order.desired))
            val response =
                client.http.put("http://${replica.address}/orders/$path") {
                    setBody(TextContent(body, ContentType.Application.Json))
                }
            when {
                response.status.isSuccess() -> Unit.right()
                response.status == HttpStatusCode.Conflict -> Failure(ResultCode.ORDER_FENCED).left()
                else -> unconfirmed("status ${response.status.value}")
            }
        }

    override suspend fun read(replica: Instance): Either<Failure, List<HeldOrder>> =
        callEngine {
            val response = client.http.get("http://${replica.address}/orders")
            if (!response.status.isSuccess()) return@callEngine unconfirmed("status ${response.status.value}")
            val body = EngineWire.json.decodeFromString(OrdersBody.serializer(), response.bodyAsText())
            body.orders.map { HeldOrder(Order(it.target, it.desired), it.fencing, it.inEffect) }.right()
        }

    private suspend fun <T> callEngine(block: suspend () -> Either<Failure, T>): Either<Failure, T> =
        try {
            withTimeoutOrNull(TIMEOUT_MILLIS) { BackendClient.translatingFailures { block() } }
                ?: unconfirmed("no answer")
        } catch (error: DispatchException) {
            Failure(error.code ?: ResultCode.ORDER_UNCONFIRMED, error.message.orEmpty()).left()
        } catch (error: SerializationException) {
            unconfirmed(error.message.orEmpty())
        }

    private fun unconfirmed(reason: String) = Failure(ResultCode.ORDER_UNCONFIRMED, reason).left()

    @Serializable
    private class OrderBody(
        val fencing: Long,
        val desired: String,
    )

    @Serializable
    private class OrdersBody(
        val orders: List<Held>,
    )

    @Serializable
    private class Held(
        val target: String,
        val desired: String,
        val fencing: Long,
        val inEffect: Boolean = true,
    )

    private companion object {
        const val TIMEOUT_MILLIS = 2_000L
    }
}
