package io.sequoiawheel.standin.store

import arrow.core.Either
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.StoredObject
import io.sequoiawheel.standin.server.FaultOrder
import io.sequoiawheel.standin.server.StandInServer
import kotlinx.serialization.KSerializer

/**
 * HTTP server of the object API.
 *
 * The connection of an unanswered call is aborted. A call beyond the budget is answered with 429 and has no effect.
 *
 * @param model the stored objects; several servers with one model simulate separate paths of the zones to the platform
 */
class ObjectStoreServer(
    private val model: ObjectStoreModel,
    port: Int = 0,
) : StandInServer(port) {
    private val client = model.client()

    override fun Routing.routes() {
        get("/objects/{kind}/{name}") {
            val key = call.objectKey() ?: return@get badRequest(call)
            respond(call, client.get(key), StoreWire.ObjectBody.serializer()) { it.toBody() }
        }
        get("/objects/{kind}") {
            val kind = call.objectKind() ?: return@get badRequest(call)
            respond(call, client.list(kind), StoreWire.ListBody.serializer()) { listing ->
                StoreWire.ListBody(listing.revision, listing.objects.map { it.toNamed() })
            }
        }
        put("/objects/{kind}/{name}") { put(call) }
        delete("/objects/{kind}/{name}") { delete(call) }
        get("/watch/{kind}") { watch(call) }
    }

    /** Applies [faults] to every client of the store. */
    fun applyFaults(faults: StoreFaults) {
        model.faults = faults
    }

    override suspend fun applyFaults(faults: FaultOrder): String? {
        if (faults.copy(store = null).hasModelFaults) return UNSUPPORTED_FAULTS
        faults.store?.let(::applyFaults)
        return null
    }

    private suspend fun put(call: ApplicationCall) {
        val key = call.objectKey() ?: return badRequest(call)
        val expected = call.expectedVersion() ?: return badRequest(call)
        val version = client.put(key, call.receiveText(), expected)
        respond(call, version, StoreWire.VersionBody.serializer()) { StoreWire.VersionBody(it) }
    }

    private suspend fun delete(call: ApplicationCall) {
        val key = call.objectKey() ?: return badRequest(call)
        val expected = call.expectedVersion() ?: return badRequest(call)
        respond(call, client.delete(key, expected), StoreWire.VersionBody.serializer()) { StoreWire.VersionBody(0) }
    }

    private suspend fun watch(call: ApplicationCall) {
        val kind = call.objectKind() ?: return badRequest(call)
        val after = call.request.queryParameters["after"]?.toLongOrNull() ?: return badRequest(call)
        val waitMillis = call.request.queryParameters["waitMillis"]?.toLongOrNull() ?: return badRequest(call)
        val changes = client.watch(kind, after, waitMillis.coerceIn(0, MAXIMUM_WAIT_MILLIS))
        respond(call, changes, StoreWire.WatchBody.serializer()) { listing ->
            StoreWire.WatchBody(listing.revision, listing.objects.map { it.toNamed() })
        }
    }

    private suspend fun <T, B> respond(
        call: ApplicationCall,
        outcome: Either<Failure, T>,
        serializer: KSerializer<B>,
        body: (T) -> B,
    ) = outcome.fold(
        ifLeft = { respondFailure(call, it) },
        ifRight = { respondJson(call, json.encodeToString(serializer, body(it))) },
    )

    private suspend fun respondFailure(
        call: ApplicationCall,
        failure: Failure,
    ) = when {
        failure.code != ResultCode.PLATFORM_UNAVAILABLE ->
            respondJson(call, "{}", HttpStatusCode.fromValue(failure.code.httpStatus))

        failure.retryAfterMillis != null -> respondJson(call, "{}", HttpStatusCode.TooManyRequests)
        else -> abortConnection()
    }

    private suspend fun badRequest(call: ApplicationCall) = respondJson(call, "{}", HttpStatusCode.BadRequest)

    private fun ApplicationCall.objectKind() = ObjectKind.entries.firstOrNull { it.path == parameters["kind"] }

    private fun ApplicationCall.objectKey(): ObjectKey? =
        objectKind()?.let { ObjectKey(it, parameters["name"].orEmpty()) }

    private fun ApplicationCall.expectedVersion(): Long? = request.header("If-Match")?.toLongOrNull()

    private fun StoredObject.toBody() = StoreWire.ObjectBody(version, value)

    private fun StoredObject.toNamed() = StoreWire.NamedObject(key.name, version, value)

    private companion object {
        const val MAXIMUM_WAIT_MILLIS = 60_000L
    }
}
