package io.sequoiawheel.cli

import io.sequoiawheel.core.model.Failure
import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.platform.UnreadableDocumentException
import io.sequoiawheel.relay.RelayProcess
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.io.IOException
import java.util.concurrent.Callable

/** Runs one entry instance on the users' platform until SIGTERM or SIGINT. */
@Command(
    name = "relay",
    mixinStandardHelpOptions = true,
    description = [
        "Run one entry instance on the platform, which forwards requests unchanged to registered replicas.",
        "SIGTERM shuts it down after the requests in progress; SIGHUP reloads the settings.",
    ],
    footer = ["", "Example: sequoiawheel relay --settings node.json --metrics-port 9464"],
)
class RelayCommand : Callable<Int> {
    @Option(names = ["--settings"], paramLabel = "FILE", required = true, description = ["Platform settings file."])
    private lateinit var settingsFile: String

    @Option(names = ["--metrics-port"], paramLabel = "PORT", description = ["Also serve the metrics on this port."])
    private var metricsPort: Int? = null

    @Option(names = ["--check"], description = ["Validate the settings and exit."])
    private var isCheckOnly = false

    @Spec
    private lateinit var spec: CommandSpec

    override fun call(): Int {
        try {
            if (!isCheckOnly) return RelayProcess(settingsFile, metricsPort).run()
            RelayProcess.readSettings(settingsFile)
            spec.commandLine().out.println("$settingsFile: valid")
            return 0
        } catch (unreadable: UnreadableDocumentException) {
            throw CommandFailure(Failure(ResultCode.INVALID_SETTINGS, "$settingsFile: ${unreadable.message}"))
        } catch (failure: IOException) {
            throw CommandFailure(Failure(ResultCode.INVALID_SETTINGS, "$settingsFile: ${failure.message}"))
        }
    }
}
