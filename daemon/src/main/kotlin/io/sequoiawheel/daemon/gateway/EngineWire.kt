package io.sequoiawheel.daemon.gateway

import io.sequoiawheel.core.serving.EngineRequest
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON bodies of the engine protocol. */
internal object EngineWire {
    val json = Json { ignoreUnknownKeys = true }

    @Serializable
    data class Start(
        val id: String,
        val model: String,
        val prompt: String,
        val maxTokens: Int,
        val priority: Int,
        val adapter: String? = null,
    ) {
        companion object {
            fun of(request: EngineRequest) =
                Start(
                    id = request.generation.value,
                    model = request.model,
                    prompt = request.prompt,
                    maxTokens = request.maximumTokens,
                    priority = request.priority,
                    adapter = request.adapter,
                )
        }
    }

    @Serializable
    data class Token(
        val generation: String,
        val text: String,
    )

    @Serializable
    data class Done(
        val tokens: Int,
        val generation: String? = null,
    )
}
