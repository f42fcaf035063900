package io.sequoiawheel.cli

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.standin.deployment.StandInPresets
import io.sequoiawheel.standin.deployment.StandInSet
import io.sequoiawheel.standin.deployment.StandInSettings
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import picocli.CommandLine.ArgGroup
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.nio.file.Path

/** Runs the stand-ins for the platform and backend servers of a deployment until SIGTERM or SIGINT. */
@Command(
    name = "stand-ins",
    mixinStandardHelpOptions = true,
    description = ["Run stand-ins for the platform and the backend servers of a deployment on loopback."],
    footer = [
        "",
        "Examples:",
        "  sequoiawheel stand-ins --preset kelani",
        "  sequoiawheel stand-ins --preset kelani --print > stand-ins.json",
        "  sequoiawheel stand-ins --settings stand-ins.json",
    ],
)
class StandInsCommand : Runnable {
    @ArgGroup(multiplicity = "1")
    private lateinit var source: Source

    @Option(names = ["--print"], description = ["Print the settings as JSON and exit."])
    private var isPrintOnly = false

    @Spec
    private lateinit var spec: CommandSpec

    override fun run() {
        val settings = source.preset?.let(::findPreset) ?: readSettings(checkNotNull(source.file))
        val out = spec.commandLine().out
        if (isPrintOnly) {
            out.println(json.encodeToString(settings))
            return
        }
        val stopSignal = StopSignal()
        val standIns = StandInSet(settings)
        runBlocking { standIns.start() }
        out.println("object store ${standIns.objectStore?.baseUrl ?: "none"}")
        out.println("instance list ${standIns.instanceList?.baseUrl ?: "none"}")
        out.println("weight store ${standIns.weightStore?.baseUrl ?: "none"}")
        standIns.engines.forEach { (id, server) -> out.println("engine $id ${server.baseUrl}") }
        standIns.plainServices.forEach { (id, server) -> out.println("plain service $id ${server.baseUrl}") }
        out.println("ready")
        out.flush()
        stopSignal.await()
        runBlocking { standIns.close() }
    }

    private fun findPreset(name: String): StandInSettings =
        StandInPresets.named(name)
            ?: throw CommandFailure(ResultCode.USAGE, "unknown preset '$name'; available: ${StandInPresets.names}")

    private fun readSettings(file: Path): StandInSettings {
        val settings =
            try {
                json.decodeFromString<StandInSettings>(TextFile.read(file, ResultCode.INVALID_SETTINGS))
            } catch (error: SerializationException) {
                throw CommandFailure(ResultCode.INVALID_SETTINGS, error.message.orEmpty())
            }
        val faults = settings.validationErrors()
        if (faults.isNotEmpty()) throw CommandFailure(ResultCode.INVALID_SETTINGS, faults.joinToString("; "))
        return settings
    }

    /** Source of the settings. Exactly one option must be given. */
    internal class Source {
        @Option(names = ["--preset"], paramLabel = "NAME", description = ["Deployment preset: kelani or manjadi."])
        var preset: String? = null

        @Option(names = ["--settings"], paramLabel = "FILE", description = ["Settings file in JSON."])
        var file: Path? = null
    }

    private companion object {
        val json =
            Json {
                prettyPrint = true
                encodeDefaults = true
            }
    }
}
