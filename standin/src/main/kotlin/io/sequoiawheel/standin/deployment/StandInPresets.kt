package io.sequoiawheel.standin.deployment

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.standin.engine.EngineSettings
import io.sequoiawheel.standin.engine.LengthDistribution
import io.sequoiawheel.standin.instances.InstanceListSettings
import io.sequoiawheel.standin.plain.PlainServiceSettings
import io.sequoiawheel.standin.weight.WeightStoreSettings

/** Stand-in settings of the two deployments, with fixed ports that do not overlap. */
object StandInPresets {
    private const val KELANI_PORT = 7000
    private const val MANJADI_PORT = 7200
    private const val BACKEND_PORT_OFFSET = 100

    /** Kelani Loom Software: eight engines for letters that check fencing numbers, and three `pledge-desk` servers. */
    val kelani: StandInSettings =
        Deployment(
            region = "lk-west",
            zones = listOf("colombo-a", "colombo-b", "gampaha-c"),
            firstPort = KELANI_PORT,
            engineService = "wheel-writers",
            engines = 8,
            engine = EngineSettings(models = listOf("letters"), orders = EngineSettings.Orders(checksFencing = true)),
            plainService = "pledge-desk",
            plainServers = 3,
            calls = mapOf("record" to callSettings(40, 30), "lookup" to callSettings(8, 8)),
            lengths = mapOf("letter" to lengthDistribution(700.0, 0.9), "summary" to lengthDistribution(60.0, 0.6)),
        ).settings()

    /** Manjadi Frost Archive: six engines for captions that ignore fencing numbers, and three `studio-desk` servers. */
    val manjadi: StandInSettings =
        Deployment(
            region = "kochi",
            zones = listOf("kochi-edappally", "kochi-kakkanad", "kochi-vyttila"),
            firstPort = MANJADI_PORT,
            engineService = "caption-models",
            engines = 6,
            engine = EngineSettings(models = listOf("captions"), orders = EngineSettings.Orders(checksFencing = false)),
            plainService = "studio-desk",
            plainServers = 3,
            calls = mapOf("print" to callSettings(60, 40), "lookup" to callSettings(8, 8)),
            lengths = mapOf("description" to lengthDistribution(400.0, 0.7), "tags" to lengthDistribution(25.0, 0.5)),
        ).settings()

    /** The names of the presets. */
    val names: List<String> = listOf("kelani", "manjadi")

    /** Returns the preset named [name], or null if there is none. */
    fun named(name: String): StandInSettings? =
        when (name) {
            "kelani" -> kelani
            "manjadi" -> manjadi
            else -> null
        }

    private fun callSettings(
        durationMillis: Long,
        jitterMillis: Long,
    ) = PlainServiceSettings.Call(durationMillis, jitterMillis)

    private fun lengthDistribution(
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
        private val plainServers: Int,
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
                backends = List(engines, ::engineBackend) + List(plainServers, ::plainBackend),
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
            port = firstPort + BACKEND_PORT_OFFSET + portOffset,
        )
    }
}
