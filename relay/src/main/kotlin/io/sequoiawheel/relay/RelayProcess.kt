package io.sequoiawheel.relay

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.InstanceSettings
import io.sequoiawheel.platform.SettingsCodec
import io.sequoiawheel.platform.UnreadableDocumentException
import io.sequoiawheel.relay.http.CallerLimitSettings
import io.sequoiawheel.relay.internal.LogConfiguration
import kotlinx.coroutines.runBlocking
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * Runs one entry instance as a process. SIGTERM and SIGINT shut it down once its requests have finished, and so does a
 * heap that is exhausted again and again; the platform then starts the process anew. The settings file is reloaded on
 * SIGHUP, and also when it changes without a signal.
 *
 * @param settingsPath the settings file that the platform writes
 * @param metricsPort additional port for metrics, which are also served on the readiness address; or null
 * @param callerLimits limits on what callers may occupy
 */
class RelayProcess(
    private val settingsPath: String,
    private val metricsPort: Int?,
    private val callerLimits: CallerLimitSettings = CallerLimitSettings(),
) {
    private val stop = CountDownLatch(1)

    @Volatile
    private var isMemoryExhausted = false

    /** Completed once the instance serves. Signals that arrive earlier take effect then. */
    private val started = CompletableFuture<RelayDaemon>()

    /** Serves until a signal stops the process, and returns the exit code. Throws if the settings are unreadable. */
    fun run(): Int {
        // Until there is a handler, each of these signals ends the process.
        Signal.handle(Signal("HUP")) { started.thenAccept(::reload) }
        Signal.handle(Signal("TERM")) { stop.countDown() }
        Signal.handle(Signal("INT")) { stop.countDown() }
        LogConfiguration.isEnabled = true
        var lastModified = modificationTime()
        val daemon =
            RelayDaemon(readSettings(settingsPath), metricsPort, callerLimits = callerLimits) {
                isMemoryExhausted = true
                stop.countDown()
            }
        try {
            runBlocking { daemon.start() }
        } catch (failure: IOException) {
            System.err.println("cannot listen: ${failure.message}")
            return ResultCode.BIND_FAILED.exitCode
        }
        started.complete(daemon)
        while (!stop.await(SETTINGS_POLL_MILLIS, TimeUnit.MILLISECONDS)) {
            val modified = modificationTime()
            if (modified != lastModified) reload(daemon)
            lastModified = modified
        }
        runBlocking { daemon.leave() }
        LogConfiguration.flush()
        return if (isMemoryExhausted) ResultCode.MEMORY_EXHAUSTED.exitCode else 0
    }

    /**
     * Returns the modification time of the settings file, or null while it is missing; the settings in force then stay.
     */
    private fun modificationTime(): FileTime? =
        try {
            Files.getLastModifiedTime(Path.of(settingsPath))
        } catch (_: IOException) {
            null
        }

    private fun reload(daemon: RelayDaemon) {
        try {
            daemon.reload(readSettings(settingsPath))
        } catch (unreadable: UnreadableDocumentException) {
            daemon.reportUnreadableSettings(unreadable.message)
        } catch (failure: IOException) {
            daemon.reportUnreadableSettings(failure.message)
        }
    }

    companion object {
        /** A reload changes at most the address of the store, so a delay of one second does no harm. */
        private const val SETTINGS_POLL_MILLIS = 1_000L

        /** Reads the settings file at [path]. Throws an exception that names the invalid field. */
        fun readSettings(path: String): InstanceSettings = SettingsCodec.decode(Files.readString(Path.of(path)))
    }
}
