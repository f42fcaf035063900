package io.sequoiawheel.cli

import io.sequoiawheel.core.configuration.AcceptedDocument
import io.sequoiawheel.core.platform.ObjectApi
import io.sequoiawheel.core.platform.ObjectKind
import io.sequoiawheel.core.platform.StoredObject
import kotlinx.coroutines.delay
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.Spec
import java.time.Duration
import java.time.Instant

/** Prints the accepted documents, then each newly accepted change. */
@Command(
    name = "watch",
    mixinStandardHelpOptions = true,
    description = ["Print the accepted documents and then each newly accepted change, one per line."],
    footer = ["", "Example: sequoiawheel document watch --for PT5M --platform http://127.0.0.1:7000"],
)
class DocumentWatchCommand : Runnable {
    @Option(
        names = ["--for"],
        paramLabel = "DURATION",
        defaultValue = "PT1H",
        description = ["How long to watch, as an ISO-8601 duration (default: PT1H)."],
    )
    private lateinit var duration: Duration

    @Mixin
    private lateinit var platform: PlatformOptions

    @Spec
    private lateinit var spec: CommandSpec

    override fun run() = platform.use { watch(it) }

    private suspend fun watch(api: ObjectApi) {
        val end = Instant.now() + duration
        var revision = 0L
        while (Instant.now() < end) {
            val waitMillis = Duration.between(Instant.now(), end).toMillis().coerceIn(1, MAXIMUM_WAIT_MILLIS)
            api.watch(ObjectKind.ACCEPTED, revision, waitMillis).fold(
                { failure ->
                    spec.commandLine().err.println("${failure.code.number} ${failure.code.name}: ${failure.detail}")
                    delay(RETRY_DELAY_MILLIS)
                },
                { listing ->
                    listing.objects.forEach { print(it) }
                    revision = maxOf(revision, listing.revision)
                },
            )
        }
    }

    private fun print(stored: StoredObject) {
        val accepted = AcceptedDocument.decode(stored.value).orThrow()
        val entry = accepted.audit.lastOrNull()
        val out = spec.commandLine().out
        out.println("${accepted.service} generation ${accepted.generation} by ${entry?.author ?: "unknown"}")
        out.flush()
    }

    private companion object {
        const val MAXIMUM_WAIT_MILLIS = 20_000L
        const val RETRY_DELAY_MILLIS = 2_000L
    }
}
