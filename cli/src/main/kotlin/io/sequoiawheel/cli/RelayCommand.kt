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
        "Run one entry instance on the platform: requests are relayed unchanged to registered replicas.",
        "SIGTERM lets requests in progress finish; SIGHUP reads the settings again.",
    ],
    footer = ["", "Example: sequoiawheel relay --settings node.json --metrics-port 9464"],
)
class RelayCommand : Callable<Int> {
    @Option(names = ["--settings"], paramLabel = "FILE", required = true, description = ["The platform's settings."])
    private lateinit var file: String

    @Option(names = ["--metrics-port"], paramLabel = "PORT", description = ["Serve the metrics on this port too."])
    private var metricsPort: Int? = null

    @Option(names = ["--check"], description = ["Check the settings and exit."])
    private var isCheckOnly = false

    @Spec
    private lateinit var spec: CommandSpec

    override fun call(): Int {
        try {
            if (!isCheckOnly) return RelayProcess(file, metricsPort).run()
            RelayProcess.readSettings(file)
            spec.commandLine().out.println("$file: valid")
            return 0
        } catch (unreadable: UnreadableDocumentException) {
            throw CommandFailure(Failure(ResultCode.INVALID_SETTINGS, "$file: ${unreadable.message}"))
        } catch (failure: IOException) {
            throw CommandFailure(Failure(ResultCode.INVALID_SETTINGS, "$file: ${failure.message}"))
        }
    }
}
