package io.sequoiawheel.standin.deployment

import io.sequoiawheel.core.model.Instance
import kotlinx.coroutines.future.await
import kotlinx.serialization.json.Json
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration

/** Client that registers backend servers at the instance list with base URL [url]. */
internal class Registration(
    private val url: String,
) {
    private val client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build()

    /**
     * Registers [instance] or renews its registration. A failed call is ignored, because the next renewal repeats it.
     */
    suspend fun renew(instance: Instance) {
        val request =
            HttpRequest
                .newBuilder(URI("$url/instances/${instance.id.value}"))
                .timeout(TIMEOUT)
                .PUT(BodyPublishers.ofString(Json.encodeToString(Instance.serializer(), instance)))
                .build()
        try {
            client.sendAsync(request, BodyHandlers.discarding()).await()
        } catch (_: IOException) {
            return
        }
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(1)
    }
}
