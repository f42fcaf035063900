package io.sequoiawheel.cli

import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.daemon.EntryDaemon
import io.sequoiawheel.daemon.settings.DaemonSettings
import io.sequoiawheel.daemon.settings.SettingsReader
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.nio.file.Path
import java.time.Instant

/** Runs one entry daemon until SIGTERM or SIGINT, then completes the requests in progress and exits. */
@Command(
    name = "daemon",
    mixinStandardHelpOptions = true,
    description = [
        "Run one entry daemon. SIGTERM shuts it down gracefully: it rejects new requests, finishes every open",
        "stream however long that takes, and exits with code 0.",
    ],
    footer = ["", "Example: sequoiawheel daemon --settings entry-a.json"],
)
class DaemonCommand : Runnable {
    @Option(names = ["--settings"], paramLabel = "FILE", required = true, description = ["Settings file in JSON."])
    private lateinit var settingsFile: Path

    @Option(names = ["--check"], description = ["Validate the settings and exit."])
    private var isCheckOnly = false

    @Spec
    private lateinit var spec: CommandSpec

    override fun run() {
        val settings = SettingsReader.read(TextFile.read(settingsFile, ResultCode.INVALID_SETTINGS)).orThrow()
        if (isCheckOnly) {
            spec.commandLine().out.println("$settingsFile: valid")
            return
        }
        serve(settings.copy(instanceId = uniqueInstanceId(settings)))
    }

    private fun serve(settings: DaemonSettings) {
        val stopSignal = StopSignal()
        val daemon = EntryDaemon(settings)
        runBlocking { daemon.start() }.orThrow()
        val out = spec.commandLine().out
        out.println("${settings.instanceId} listens on http://${settings.listen.host}:${daemon.port}")
        out.flush()
        stopSignal.await()
        runBlocking { daemon.leave() }
    }

    // Other instances must not mistake a restarted process for the one that left under the same name.
    private fun uniqueInstanceId(settings: DaemonSettings): InstanceId {
        val startTime = Instant.now().toEpochMilli().toString(RADIX)
        return InstanceId("${settings.instanceId.value}-$startTime")
    }

    private companion object {
        const val RADIX = 36
    }
}
