package io.sequoiawheel.cli.demo

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.standin.deployment.StandInPresets
import io.sequoiawheel.standin.deployment.StandInSettings

/**
 * The demo's scenario for one deployment.
 *
 * @property entryZones availability zone of each entry instance
 * @property writeCall non-idempotent call of the plain service
 * @property lookupCall idempotent call of the plain service
 */
internal class DemoPlan(
    val name: String,
    val standIns: StandInSettings,
    val entryZones: List<ZoneName>,
    val engineDocument: ServiceDocument,
    val plainDocument: ServiceDocument,
    val longKind: GenerationKind,
    val shortKind: GenerationKind,
    val writeCall: String,
    val lookupCall: String,
    val workspaces: List<WorkspaceName>,
) {
    /** A kind of generation that callers request. */
    class GenerationKind(
        val name: String,
        val maximumTokens: Int,
        val delivery: ServiceDocument.Delivery,
    )

    /** The availability zone that is taken out of service and returned to service. */
    val changedZone: ZoneName = entryZones.last()

    /** The engine that fails; it is outside [changedZone]. */
    val failingEngine: InstanceId = backends(engineDocument.service).first { it.zone != changedZone }.id

    /** The engine that leaves; it is outside [changedZone]. */
    val leavingEngine: InstanceId = backends(engineDocument.service).last { it.zone != changedZone }.id

    private fun backends(service: ServiceName) = standIns.backends.filter { it.service == service }

    companion object {
        private const val LONG_TOKENS = 250
        private const val SHORT_TOKENS = 80
        private const val LARGE_WORKSPACE_WEIGHT = 3
        private const val ENTRY_INSTANCES = 6
        private const val WORKSPACES = 3

        // A graceful shutdown waits for generations whose caller disconnected; the default of 30 s would take half of
        // the demo.
        private const val RESUME_WINDOW_MILLIS = 12_000L

        // A cold plain service handles 4 calls for 5 s. The limit starts at 2, reaches 4 after the first step and
        // exceeds 4 after the second, when the service is warm.
        private val plainServiceColdStart = ServiceDocument.ColdStartPolicy(initialConcurrent = 2, stepMillis = 2_600)

        /** Kelani Loom Software: generates letters and summaries, records pledges. */
        val kelani: DemoPlan =
            DemoPlan(
                name = "kelani",
                standIns = StandInPresets.kelani.withFreePorts(),
                entryZones = entryZones(StandInPresets.kelani),
                engineDocument = engineDocument("wheel-writers", "letters", ServiceDocument.Fencing.CHECKED),
                plainDocument = plainDocument("pledge-desk", "record", "lookup"),
                longKind = GenerationKind("letter", LONG_TOKENS, ServiceDocument.Delivery.STREAM),
                shortKind = GenerationKind("summary", SHORT_TOKENS, ServiceDocument.Delivery.WHOLE),
                writeCall = "record",
                lookupCall = "lookup",
                workspaces = workspaces("sponsors"),
            )

        /** Manjadi Frost Archive: generates descriptions and tags, orders prints. */
        val manjadi: DemoPlan =
            DemoPlan(
                name = "manjadi",
                standIns = StandInPresets.manjadi.withFreePorts(),
                entryZones = entryZones(StandInPresets.manjadi),
                engineDocument = engineDocument("caption-models", "captions", ServiceDocument.Fencing.IGNORED),
                plainDocument = plainDocument("studio-desk", "print", "lookup"),
                longKind = GenerationKind("description", LONG_TOKENS, ServiceDocument.Delivery.STREAM),
                shortKind = GenerationKind("tags", SHORT_TOKENS, ServiceDocument.Delivery.WHOLE),
                writeCall = "print",
                lookupCall = "lookup",
                workspaces = workspaces("studio"),
            )

        private fun entryZones(settings: StandInSettings): List<ZoneName> {
            val zones = settings.backends.map { it.zone }.distinct()
            return List(ENTRY_INSTANCES) { zones[it % zones.size] }
        }

        private fun workspaces(prefix: String) = List(WORKSPACES) { WorkspaceName("$prefix-${it + 1}") }

        private fun engineDocument(
            service: String,
            model: String,
            fencing: ServiceDocument.Fencing,
        ) = ServiceDocument(
            service = ServiceName(service),
            kind = ServiceDocument.Kind.MODEL_ENGINE,
            author = "demo",
            fencing = fencing,
            models = listOf(ServiceDocument.Model(model)),
            workspaces = policies(),
            resumeWindowMillis = RESUME_WINDOW_MILLIS,
        )

        private fun plainDocument(
            service: String,
            writeCall: String,
            lookupCall: String,
        ) = ServiceDocument(
            service = ServiceName(service),
            kind = ServiceDocument.Kind.PLAIN_SERVICE,
            author = "demo",
            calls =
                listOf(
                    ServiceDocument.Call(writeCall, idempotent = false, deadlineMillis = 5_000),
                    ServiceDocument.Call(lookupCall, idempotent = true, deadlineMillis = 3_000, hedgeAfterMillis = 500),
                ),
            workspaces = policies(),
            coldStart = plainServiceColdStart,
        )

        private fun policies() =
            ServiceDocument.WorkspacePolicies(
                default = ServiceDocument.WorkspacePolicy(weight = LARGE_WORKSPACE_WEIGHT),
            )
    }
}
