package io.sequoiawheel.cli

import arrow.core.Either
import arrow.core.flatMap
import io.sequoiawheel.core.configuration.ConfigurationReader
import io.sequoiawheel.core.configuration.DocumentStatus
import io.sequoiawheel.core.configuration.InForceStatus
import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.platform.ObjectApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.util.concurrent.Callable

/** Prints whether the latest document of a service was accepted, and the generation in force in each zone. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = [
        "Print whether the latest document was accepted and the generation in force in each availability zone.",
        "The exit code is that of DOCUMENT_REJECTED or NOT_YET_IN_FORCE if one of them applies.",
    ],
    footer = ["", "Example: sequoiawheel document status wheel-writers --platform http://127.0.0.1:7000"],
)
class DocumentStatusCommand : Callable<Int> {
    @Parameters(paramLabel = "SERVICE", description = ["Name of the service."])
    private lateinit var service: String

    @Mixin
    private lateinit var platform: PlatformOptions

    @Mixin
    private lateinit var output: OutputOptions

    @Spec
    private lateinit var spec: CommandSpec

    override fun call(): Int {
        val result = platform.use { readStatus(it) }.orThrow()
        val out = spec.commandLine().out
        when (output.format) {
            OutputFormat.JSON -> out.println(Json.encodeToString(result))
            OutputFormat.TABLE -> out.println(formatTable(result))
        }
        out.flush()
        return exitCode(result)
    }

    private suspend fun readStatus(api: ObjectApi): Either<Failure, ServiceStatus> {
        val reader = ConfigurationReader(api)
        return reader.status(ServiceName(service)).flatMap { verdict ->
            reader.inForce().map { zones -> ServiceStatus(verdict, zones.map { zoneStatus(it) }) }
        }
    }

    private fun zoneStatus(status: InForceStatus): ZoneStatus {
        val generation = status.report.lowest[ServiceName(service)] ?: 0
        return ZoneStatus(status.zone.value, generation, status.report.instances, status.expectedInstances)
    }

    private fun formatTable(result: ServiceStatus): String {
        val verdict = result.verdict
        val summary =
            "${verdict.service}: version ${verdict.documentVersion} ${verdict.verdict.name.lowercase()}, " +
                "generation ${verdict.generation}"
        val faults = verdict.faults.map { "  ${it.path}: ${it.problem}" }
        val zones =
            result.zones.map { listOf(it.zone, it.generation.toString(), "${it.instances} of ${it.expectedInstances}") }
        val table = TextTable.format(listOf("zone", "generation in force", "instances"), zones)
        return (listOf(summary) + faults + table).joinToString("\n")
    }

    private fun exitCode(result: ServiceStatus): Int =
        when {
            result.verdict.verdict == DocumentStatus.Verdict.REJECTED -> ResultCode.DOCUMENT_REJECTED.exitCode
            result.zones.isEmpty() || result.zones.any { !it.isInForce(result.verdict.generation) } ->
                ResultCode.NOT_YET_IN_FORCE.exitCode
            else -> ResultCode.OK.exitCode
        }

    /** The JSON output. */
    @Serializable
    internal data class ServiceStatus(
        val verdict: DocumentStatus,
        val zones: List<ZoneStatus>,
    )

    /** The report of one availability zone; [generation] is the lowest in force at any of its instances. */
    @Serializable
    internal data class ZoneStatus(
        val zone: String,
        val generation: Long,
        val instances: Int,
        val expectedInstances: Int,
    ) {
        fun isInForce(accepted: Long): Boolean = generation >= accepted && instances >= expectedInstances
    }
}
