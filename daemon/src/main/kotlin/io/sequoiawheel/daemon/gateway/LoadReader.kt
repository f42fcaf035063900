package io.sequoiawheel.daemon.gateway

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.Instance
import io.sequoiawheel.core.model.LoadReport
import io.sequoiawheel.core.model.ResultCode
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json

/** Reads the load reports of engines and plain services. */
internal object LoadReader {
    // Reports are read every 500 ms, and one that is a few periods old is useless.
    private const val TIMEOUT_MILLIS = 1_000L
    private val json = Json { ignoreUnknownKeys = true }

    suspend fun read(
        client: BackendClient,
        replica: Instance,
    ): Either<Failure, LoadReport> =
        try {
            withTimeoutOrNull(TIMEOUT_MILLIS) { fetch(client, replica) } ?: failed(replica, "timed out")
        } catch (error: CancellationException) {
            currentCoroutineContext().ensureActive()
            failed(replica, "connection lost")
        } catch (error: Exception) {
            failed(replica, error.message.orEmpty())
        }

    private suspend fun fetch(
        client: BackendClient,
        replica: Instance,
    ): Either<Failure, LoadReport> {
        val response = client.http.get("http://${replica.address}/load")
        if (!response.status.isSuccess()) return failed(replica, "status ${response.status.value}")
        return json.decodeFromString(LoadReport.serializer(), response.bodyAsText()).right()
    }

    private fun failed(
        replica: Instance,
        reason: String,
    ) = Failure(ResultCode.BACKEND_ERROR, "load report of ${replica.id}: $reason").left()
}
