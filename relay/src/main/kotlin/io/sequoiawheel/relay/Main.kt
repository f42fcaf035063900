package io.sequoiawheel.relay

import io.sequoiawheel.core.model.ResultCode
import io.sequoiawheel.core.relay.InstanceSettings
import io.sequoiawheel.platform.SettingsCodec
import io.sequoiawheel.platform.UnreadableDocumentException
import kotlinx.coroutines.runBlocking
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** Runs one entry instance with the settings file that the environment names, until SIGTERM. */
fun main() {
    val path = System.getenv(SettingsCodec.PATH_VARIABLE) ?: fail("${SettingsCodec.PATH_VARIABLE} is not set")
    val settings =
        try {
            readSettings(path)
        } catch (unreadable: UnreadableDocumentException) {
            fail("$path: ${unreadable.message}")
        } catch (failure: IOException) {
            fail("$path: ${failure.message}")
        }
    val stop = CountDownLatch(1)
    Signal.handle(Signal("TERM")) { stop.countDown() }
    Signal.handle(Signal("INT")) { stop.countDown() }
    val daemon = RelayDaemon(settings)
    Signal.handle(Signal("HUP")) { reload(daemon, path) }
    try {
        runBlocking { daemon.start() }
    } catch (failure: IOException) {
        System.err.println("cannot listen: ${failure.message}")
        exitProcess(ResultCode.BIND_FAILED.exitCode)
    }
    stop.await()
    runBlocking { daemon.leave() }
    exitProcess(0)
}

private fun readSettings(path: String): InstanceSettings = SettingsCodec.decode(Files.readString(Path.of(path)))

private fun reload(
    daemon: RelayDaemon,
    path: String,
) {
    try {
        daemon.reload(readSettings(path))
    } catch (unreadable: UnreadableDocumentException) {
        System.err.println("settings kept: $path: ${unreadable.message}")
    } catch (failure: IOException) {
        System.err.println("settings kept: $path: ${failure.message}")
    }
}

private fun fail(message: String): Nothing {
    System.err.println(message)
    exitProcess(ResultCode.INVALID_SETTINGS.exitCode)
}
