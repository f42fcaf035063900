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

/** Runs one entry daemon until SIGTERM or SIGINT, then finishes every request in progress. */
@Command(
    name = "daemon",
    mixinStandardHelpOptions = true,
    description = [
        "Run one entry daemon. SIGTERM makes it leave: it refuses new requests, finishes every open stream",
        "however long it takes, and exits with 0.",
    ],
    footer = ["", "Example: sequoiawheel daemon --settings entry-a.json"],
)
class DaemonCommand : Runnable {
    @Option(names = ["--settings"], paramLabel = "FILE", required = true, description = ["The settings as JSON."])
    private lateinit var file: Path

    @Option(names = ["--check"], description = ["Check the settings and exit."])
    private var isCheckOnly = false

    @Spec
    private lateinit var spec: CommandSpec

    override fun run() {
        val settings = SettingsReader.read(TextFile.read(file, ResultCode.INVALID_SETTINGS)).orFail()
        if (isCheckOnly) {
            spec.commandLine().out.println("$file: valid")
            return
        }
        serve(settings.copy(instanceId = incarnationOf(settings)))
    }

    private fun serve(settings: DaemonSettings) {
        val signal = StopSignal()
        val daemon = EntryDaemon(settings)
        runBlocking { daemon.start() }.orFail()
        val out = spec.commandLine().out
        out.println("${settings.instanceId} listens on http://${settings.listen.host}:${daemon.port}")
        out.flush()
        signal.await()
        runBlocking { daemon.leave() }
    }

    // A restarted process must not be taken for the one that left under the same name.
    private fun incarnationOf(settings: DaemonSettings): InstanceId {
        val incarnation = Instant.now().toEpochMilli().toString(RADIX)
        return InstanceId("${settings.instanceId.value}-$incarnation")
    }

    private companion object {
        const val RADIX = 36
    }
}
