package io.sequoiawheel.standin.engine.internal

import io.sequoiawheel.standin.engine.EngineOrder
import io.sequoiawheel.standin.engine.EngineSettings

/** The latest accepted order of each target, and the models that are loaded as a result. */
internal class OrderState(
    private val settings: EngineSettings,
) {
    private class Entry(
        val fencing: Long,
        val desired: String,
        val effectiveAtMillis: Long,
    )

    private val entries = LinkedHashMap<String, Entry>()
    private var highestFencing = 0L

    /** Applies an order; returns false if this engine checks fencing numbers and this one is stale. */
    fun accept(
        target: String,
        fencing: Long,
        desired: String,
        nowMillis: Long,
    ): Boolean {
        if (settings.orders.checksFencing && fencing < highestFencing) return false
        highestFencing = maxOf(highestFencing, fencing)
        val previous = entries[target]
        val effectiveAt =
            when {
                previous?.desired == desired -> previous.effectiveAtMillis
                desired == LOADED && !isLoaded(target, nowMillis) -> nowMillis + settings.orders.loadMillis
                else -> nowMillis
            }
        entries[target] = Entry(fencing, desired, effectiveAt)
        return true
    }

    fun list(nowMillis: Long): List<EngineOrder> =
        entries.map { (target, entry) ->
            EngineOrder(target, entry.fencing, entry.desired, nowMillis >= entry.effectiveAtMillis)
        }

    fun loadedModels(nowMillis: Long): List<String> {
        val ordered = entries.keys.filter { it.startsWith(MODEL_PREFIX) }.map { it.removePrefix(MODEL_PREFIX) }
        return (settings.models + ordered).distinct().filter { isLoaded(MODEL_PREFIX + it, nowMillis) }
    }

    fun isModelLoaded(
        model: String,
        nowMillis: Long,
    ): Boolean = isLoaded(MODEL_PREFIX + model, nowMillis)

    private fun isLoaded(
        target: String,
        nowMillis: Long,
    ): Boolean {
        val entry = entries[target] ?: return target.removePrefix(MODEL_PREFIX) in settings.models
        return entry.desired == LOADED && nowMillis >= entry.effectiveAtMillis
    }

    private companion object {
        const val LOADED = "loaded"
        const val MODEL_PREFIX = "model/"
    }
}
