package io.sequoiawheel.standin.weight

import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.Routing
import io.ktor.server.routing.post
import io.sequoiawheel.standin.server.StandInServer
import kotlinx.serialization.Serializable

/** HTTP server of the weight store: `POST /weights/{name}` is answered with 200, or with 429 and `retryAfterMillis`. */
class WeightStoreServer(
    settings: WeightStoreSettings = WeightStoreSettings(),
) : StandInServer(settings.port) {
    /** The weight store; its state survives a restart of the server. */
    val model = WeightStoreModel(settings)

    override fun Routing.routes() {
        post("/weights/{name}") {
            val waitMillis = model.request(call.parameters["name"].orEmpty(), clock.nowMillis())
            if (waitMillis == 0L) return@post respondJson(call, "{}")
            val body = json.encodeToString(RateBody.serializer(), RateBody(waitMillis))
            respondJson(call, body, HttpStatusCode.TooManyRequests)
        }
    }

    @Serializable
    private data class RateBody(
        val retryAfterMillis: Long,
    )
}
