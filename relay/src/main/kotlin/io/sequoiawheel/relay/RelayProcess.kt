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
import java.util.concurrent.CountDownLatch

/**
 * One entry instance as a process: SIGTERM and SIGINT let it finish its requests and end, SIGHUP reads the settings
 * file again.
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
        stop.await()
        runBlocking { daemon.leave() }
        return 0
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
        /** Reads the settings file at [path], or throws with the name of the faulty field. */
        fun readSettings(path: String): InstanceSettings = SettingsCodec.decode(Files.readString(Path.of(path)))
    }
}
