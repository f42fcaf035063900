package io.sequoiawheel.cli.demo

import arrow.core.getOrElse
import io.sequoiawheel.cli.CommandFailure
import io.sequoiawheel.core.history.HistoryEvent
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.daemon.EntryDaemon
import io.sequoiawheel.daemon.settings.DaemonSettings
import io.sequoiawheel.objectapi.PlatformSettings
import kotlinx.coroutines.delay
import java.security.SecureRandom
import java.util.Base64
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/** The entry instances of one deployment. Stands in for the platform's load balancer. */
internal class EntryFleet(
    private val plan: DemoPlan,
    private val platform: PlatformSettings,
    private val recorder: DemoRecorder,
) {
    /** A running entry instance. */
    class EntryInstance(
        val id: InstanceId,
        val daemon: EntryDaemon,
    ) {
        /** Base URL for callers. */
        val url: String get() = "http://$LOOPBACK:${daemon.port}"
    }

    private val resumeKey = ByteArray(KEY_BYTES).also { SecureRandom().nextBytes(it) }
    private val running = CopyOnWriteArrayList<EntryInstance>()

    /** The number of entry instances that accept requests. */
    val size: Int get() = running.size

    /** Starts every entry instance. Throws [CommandFailure] if one fails to bind its address. */
    suspend fun start() =
        plan.entryZones.forEachIndexed { index, _ ->
            val entry = EntryInstance(settings(index).instanceId, EntryDaemon(settings(index)))
            entry.daemon.start().getOrElse { throw CommandFailure(it) }
            running += entry
        }

    /** Returns a random entry instance, other than [excluded] if possible. */
    fun pick(
        random: Random,
        excluded: EntryInstance? = null,
    ): EntryInstance {
        val candidates = running.filter { it !== excluded }.ifEmpty { running }
        return candidates[random.nextInt(candidates.size)]
    }

    /** Gracefully shuts down one entry instance while callers still use it, and returns its id. */
    suspend fun shutDownOne(): InstanceId {
        val entry = running.first()
        recorder.record(HistoryEvent.ShutdownStarted(recorder.now(), entry.id))
        running.remove(entry)
        entry.daemon.leave()
        // The callers may still be reading the last bytes of their responses.
        delay(RESPONSE_READ_MILLIS)
        recorder.record(HistoryEvent.ShutdownFinished(recorder.now(), entry.id, exitCode = 0))
        return entry.id
    }

    /** Stops every entry instance without waiting for its requests. */
    fun close() = running.forEach { it.daemon.close() }

    private fun settings(index: Int) =
        DaemonSettings(
            instanceId = InstanceId("${plan.name}-entry-${index + 1}"),
            region = plan.standIns.region,
            zone = plan.entryZones[index],
            listen = DaemonSettings.Endpoint(LOOPBACK, 0),
            peer = DaemonSettings.Endpoint(LOOPBACK, 0),
            platform = platform,
            resumeKey = Base64.getEncoder().encodeToString(resumeKey),
        )

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val KEY_BYTES = 32
        const val RESPONSE_READ_MILLIS = 1_000L
    }
}
