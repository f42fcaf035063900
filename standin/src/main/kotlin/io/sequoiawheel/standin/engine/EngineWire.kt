package io.sequoiawheel.standin.engine

import kotlinx.serialization.Serializable

/** The JSON bodies of the engine's protocol. */
internal object EngineWire {
    @Serializable
    data class Start(
        val id: String,
        val model: String,
        val prompt: String,
        val maxTokens: Int,
        val priority: Int = 0,
        val adapter: String? = null,
    )

    @Serializable
    data class Token(
        val generation: String,
        val text: String,
    )

    @Serializable
    data class Done(
        val generation: String,
        val tokens: Int,
    )

    @Serializable
    data class Events(
        val events: List<Event>,
    )

    @Serializable
    data class Event(
        val sequence: Long,
        val stored: List<Long>,
        val evicted: List<Long>,
    )

    @Serializable
    data class Order(
        val fencing: Long,
        val desired: String,
    )

    @Serializable
    data class Orders(
        val orders: List<TakenOrder>,
    )

    @Serializable
    data class TakenOrder(
        val target: String,
        val fencing: Long,
        val desired: String,
        val inEffect: Boolean,
    )
}
