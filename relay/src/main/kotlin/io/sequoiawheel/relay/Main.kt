package io.sequoiawheel.relay

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.platform.SettingsCodec
import io.sequoiawheel.platform.UnreadableDocumentException
import io.sequoiawheel.relay.http.CallerLimitSettings
import java.io.IOException
import kotlin.system.exitProcess

/**
 * Environment variable with an additional port for metrics; without it they are served on the readiness address only.
 */
const val METRICS_PORT_VARIABLE = "SEQUOIAWHEEL_METRICS_PORT"

private const val LARGEST_PORT = 65_535

/** Runs one entry instance until SIGTERM. The environment names its settings file. */
fun main() {
    val path =
        System.getenv(SettingsCodec.PATH_VARIABLE) ?: fail("${SettingsCodec.PATH_VARIABLE} is not set")
    val status =
        try {
            RelayProcess(path, metricsPort(), callerLimits()).run()
        } catch (unreadable: UnreadableDocumentException) {
            fail("$path: ${unreadable.message}")
        } catch (failure: IOException) {
            fail("$path: ${failure.message}")
        }
    exitProcess(status)
}

private fun metricsPort(): Int? {
    val text = System.getenv(METRICS_PORT_VARIABLE)?.takeIf { it.isNotBlank() } ?: return null
    return text.toIntOrNull()?.takeIf { it in 1..LARGEST_PORT }
        ?: fail("$METRICS_PORT_VARIABLE: '$text' is not a port from 1 to $LARGEST_PORT")
}

private fun callerLimits(): CallerLimitSettings =
    try {
        CallerLimitSettings.of(System.getenv())
    } catch (wrong: IllegalArgumentException) {
        fail(wrong.message.orEmpty())
    }

private fun fail(message: String): Nothing {
    System.err.println(message)
    exitProcess(ResultCode.INVALID_SETTINGS.exitCode)
}
