package io.sequoiawheel.cli

import io.sequoiawheel.core.platform.ObjectKey
import io.sequoiawheel.core.platform.ObjectKind
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec

/** Prints the latest version of a service document, whether or not it was accepted. */
@Command(
    name = "get",
    mixinStandardHelpOptions = true,
    description = ["Print the latest version of a service document; the version number goes to standard error."],
    footer = ["", "Example: sequoiawheel document get wheel-writers --platform http://127.0.0.1:7000 > writers.json"],
)
class DocumentGetCommand : Runnable {
    @Parameters(paramLabel = "SERVICE", description = ["Name of the service."])
    private lateinit var service: String

    @Mixin
    private lateinit var platform: PlatformOptions

    @Spec
    private lateinit var spec: CommandSpec

    override fun run() {
        val stored = platform.use { it.get(ObjectKey(ObjectKind.DOCUMENT, service)) }.orThrow()
        val commandLine = spec.commandLine()
        commandLine.err.println("version ${stored.version}")
        commandLine.out.println(stored.value)
        commandLine.out.flush()
    }
}
