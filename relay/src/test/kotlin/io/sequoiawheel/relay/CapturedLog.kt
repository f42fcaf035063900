package io.sequoiawheel.relay

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import net.logstash.logback.encoder.LogstashEncoder
import org.slf4j.LoggerFactory
import java.util.concurrent.CopyOnWriteArrayList

/** The lines that this process logs while it is open, as they are written. */
internal class CapturedLog : AutoCloseable {
    private val logger = LoggerFactory.getLogger("sequoiawheel") as Logger
    private val encoder = LogstashEncoder().also { it.start() }
    private val captured = CopyOnWriteArrayList<JsonObject>()
    private val appender =
        object : AppenderBase<ILoggingEvent>() {
            override fun append(event: ILoggingEvent) {
                captured += Json.parseToJsonElement(String(encoder.encode(event))).jsonObject
            }
        }

    init {
        appender.context = logger.loggerContext
        appender.start()
        logger.addAppender(appender)
    }

    val lines: List<JsonObject> get() = captured.toList()

    /** Waits for the line [message] in which [field] has [value]. */
    fun await(
        message: String,
        field: String,
        value: String,
    ): JsonObject {
        fun found() = lines.firstOrNull { it.text("message") == message && it.text(field) == value }
        RelayFixture.awaitTrue("'$message' of $value is logged") { found() != null }
        return checkNotNull(found())
    }

    override fun close() {
        logger.detachAppender(appender)
    }
}

/** The value of [field] as text, or null. */
internal fun JsonElement.text(field: String): String? = jsonObject[field]?.jsonPrimitive?.content

/** The objects of the list [field], none if it is absent. */
internal fun JsonElement.list(field: String): JsonArray = jsonObject[field]?.jsonArray ?: JsonArray(emptyList())
