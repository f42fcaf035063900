package io.sequoiawheel.experiment.simulation

import io.sequoiawheel.standin.engine.EngineSettings

/**
 * The instances of one service. Entry instances and replicas are assigned to the zones in turn.
 *
 * @property oneWayMillis delay between any two instances; `clientMillis` is the delay to the callers
 * @property listLagMillis time until a change appears in the instance list
 */
data class Topology(
    val zones: List<String> = listOf("colombo-a", "colombo-b", "gampaha-c"),
    val entries: Int = 6,
    val replicas: Int = 8,
    val oneWayMillis: Double = 0.5,
    val clientMillis: Double = 3.0,
    val listLagMillis: Double = 1_000.0,
    val engine: EngineSettings = EngineSettings(models = listOf(MODEL)),
) {
    /** Returns the zone of the entry instance or replica with this [index]. */
    fun zoneOf(index: Int): String = zones[index % zones.size]

    companion object {
        /** The model that every simulated engine has loaded. */
        const val MODEL = "letters"
    }
}
