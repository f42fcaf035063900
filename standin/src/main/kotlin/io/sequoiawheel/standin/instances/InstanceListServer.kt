package io.sequoiawheel.standin.instances

import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.standin.server.FaultOrder
import io.sequoiawheel.standin.server.StandInServer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** HTTP server of the instance list: `GET /instances`, `PUT /instances/{id}`, `DELETE /instances/{id}`. */
class InstanceListServer(
    settings: InstanceListSettings = InstanceListSettings(),
) : StandInServer(settings.port) {
    /** The instance list; its contents survive a restart of the server. */
    val model = InstanceListModel(settings)

    override fun Routing.routes() {
        get("/instances") {
            val body = ListBody(model.read(clock.nowMillis()))
            respondJson(call, json.encodeToString(ListBody.serializer(), body))
        }
        put("/instances/{id}") {
            val instance = decode(call.receiveText())
            if (instance == null || instance.id.value != call.parameters["id"]) {
                return@put respondJson(call, "{}", HttpStatusCode.BadRequest)
            }
            model.register(instance, clock.nowMillis())
            respondJson(call, "{}")
        }
        delete("/instances/{id}") {
            model.remove(InstanceId(call.parameters["id"].orEmpty()), clock.nowMillis())
            respondJson(call, "{}")
        }
    }

    override suspend fun applyFaults(faults: FaultOrder): String? {
        if (faults.copy(instances = null).hasModelFaults) return UNSUPPORTED_FAULTS
        faults.instances?.let(model::applyFaults)
        return null
    }

    private fun decode(text: String): Instance? =
        try {
            json.decodeFromString(Instance.serializer(), text)
        } catch (_: SerializationException) {
            null
        }

    @Serializable
    private data class ListBody(
        val instances: List<Instance>,
    )
}
