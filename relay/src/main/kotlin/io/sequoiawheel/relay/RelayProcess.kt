package io.sequoiawheel.relay

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.InstanceSettings
import io.sequoiawheel.platform.SettingsCodec
import io.sequoiawheel.platform.UnreadableDocumentException
import io.sequoiawheel.relay.internal.LogConfiguration
import kotlinx.coroutines.runBlocking
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * One entry instance as a process: SIGTERM and SIGINT let it finish its requests and end. The settings file is read
 * again at SIGHUP, and when it has changed without a signal.
 *
 * @param settingsPath the settings file that the platform writes
 * @param metricsPort port on which the metrics are served beside the readiness address, or null
 */
class RelayProcess(
    private val settingsPath: String,
    private val metricsPort: Int?,
) {
    private val stop = CountDownLatch(1)

    /** Serves until a signal ends it, and returns the exit code. Unreadable settings throw. */
    fun run(): Int {
        LogConfiguration.isWanted = true
        val daemon = RelayDaemon(readSettings(settingsPath), metricsPort)
        Signal.handle(Signal("TERM")) { stop.countDown() }
        Signal.handle(Signal("INT")) { stop.countDown() }
        Signal.handle(Signal("HUP")) { reload(daemon) }
        try {
            runBlocking { daemon.start() }
        } catch (failure: IOException) {
            System.err.println("cannot listen: ${failure.message}")
            return ResultCode.BIND_FAILED.exitCode
        }
        var known = modified()
        while (!stop.await(SETTINGS_POLL_MILLIS, TimeUnit.MILLISECONDS)) {
            val newest = modified()
            if (newest != known) reload(daemon)
            known = newest
        }
        runBlocking { daemon.leave() }
        LogConfiguration.flush()
        return 0
    }

    /** Returns when the settings file was written, or null while there is none; then the settings in force stay. */
    private fun modified(): FileTime? =
        try {
            Files.getLastModifiedTime(Path.of(settingsPath))
        } catch (_: IOException) {
            null
        }

    private fun reload(daemon: RelayDaemon) {
        try {
            daemon.reload(readSettings(settingsPath))
        } catch (unreadable: UnreadableDocumentException) {
            daemon.keepSettings(unreadable.message)
        } catch (failure: IOException) {
            daemon.keepSettings(failure.message)
        }
    }

    companion object {
        /** Changed settings name the store's new address at most; a second without it costs nothing. */
        private const val SETTINGS_POLL_MILLIS = 1_000L

        /** Reads the settings file at [path], or throws with the name of the faulty field. */
        fun readSettings(path: String): InstanceSettings = SettingsCodec.decode(Files.readString(Path.of(path)))
    }
}
