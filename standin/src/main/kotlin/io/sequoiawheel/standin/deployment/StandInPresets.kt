package io.sequoiawheel.standin.deployment

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.standin.engine.EngineSettings
import io.sequoiawheel.standin.engine.LengthDistribution
import io.sequoiawheel.standin.instances.InstanceListSettings
import io.sequoiawheel.standin.plain.PlainServiceSettings
import io.sequoiawheel.standin.weight.WeightStoreSettings

/** The stand-ins of the two deployments, with fixed ports that do not overlap. */
object StandInPresets {
    private const val KELANI_PORT = 7000
    private const val MANJADI_PORT = 7200
    private const val BACKEND_PORTS = 100

    /** Kelani Loom Software: eight letter engines that check fencing numbers and three pledge desks. */
    val kelani: StandInSettings =
        Deployment(
            region = "lk-west",
            zones = listOf("colombo-a", "colombo-b", "gampaha-c"),
            firstPort = KELANI_PORT,
            engineService = "wheel-writers",
            engines = 8,
            engine = EngineSettings(models = listOf("letters"), orders = EngineSettings.Orders(checksFencing = true)),
            plainService = "pledge-desk",
            desks = 3,
            calls = mapOf("record" to call(40, 30), "lookup" to call(8, 8)),
            lengths = mapOf("letter" to length(700.0, 0.9), "summary" to length(60.0, 0.6)),
        ).settings()

    /** Manjadi Frost Archive: six caption engines that ignore fencing numbers and three studio desks. */
    val manjadi: StandInSettings =
        Deployment(
            region = "kochi",
            zones = listOf("kochi-edappally", "kochi-kakkanad", "kochi-vyttila"),
            firstPort = MANJADI_PORT,
            engineService = "caption-models",
            engines = 6,
            engine = EngineSettings(models = listOf("captions"), orders = EngineSettings.Orders(checksFencing = false)),
            plainService = "studio-desk",
            desks = 3,
            calls = mapOf("print" to call(60, 40), "lookup" to call(8, 8)),
            lengths = mapOf("description" to length(400.0, 0.7), "tags" to length(25.0, 0.5)),
        ).settings()

    /** The names of the presets. */
    val names: List<String> = listOf("kelani", "manjadi")

    /** Returns the preset with this [name], or null. */
    fun named(name: String): StandInSettings? =
        when (name) {
            "kelani" -> kelani
            "manjadi" -> manjadi
            else -> null
        }

    private fun call(
        durationMillis: Long,
        jitterMillis: Long,
    ) = PlainServiceSettings.Call(durationMillis, jitterMillis)

    private fun length(
        medianTokens: Double,
        sigma: Double,
    ) = LengthDistribution(medianTokens, sigma)

    private class Deployment(
        private val region: String,
        private val zones: List<String>,
        private val firstPort: Int,
        private val engineService: String,
        private val engines: Int,
        private val engine: EngineSettings,
        private val plainService: String,
        private val desks: Int,
        private val calls: Map<String, PlainServiceSettings.Call>,
        private val lengths: Map<String, LengthDistribution>,
    ) {
        fun settings() =
            StandInSettings(
                region = region,
                objectStore = StandInSettings.ObjectStore(firstPort),
                instanceList = InstanceListSettings(firstPort + 1),
                weightStore = WeightStoreSettings(firstPort + 2),
                lengths = lengths,
                backends = List(engines, ::engineBackend) + List(desks, ::plainBackend),
            )

        private fun engineBackend(index: Int) =
            backend(engineService, index, index).copy(engine = engine.copy(name = "$engineService-${index + 1}"))

        private fun plainBackend(index: Int) =
            backend(plainService, index, engines + index).copy(plain = PlainServiceSettings(calls))

        private fun backend(
            service: String,
            index: Int,
            portOffset: Int,
        ) = StandInSettings.Backend(
            id = InstanceId("$service-${index + 1}"),
            service = ServiceName(service),
            zone = ZoneName(zones[index % zones.size]),
            port = firstPort + BACKEND_PORTS + portOffset,
        )
    }
}
