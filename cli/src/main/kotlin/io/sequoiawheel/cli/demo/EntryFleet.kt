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

/** The entry instances of one deployment, as the platform's load balancer sees them. */
internal class EntryFleet(
    private val plan: DemoPlan,
    private val platform: PlatformSettings,
    private val notes: DemoNotes,
) {
    /** One running entry instance. */
    class Entry(
        val id: InstanceId,
        val daemon: EntryDaemon,
    ) {
        /** Base URL for callers. */
        val url: String get() = "http://$LOOPBACK:${daemon.port}"
    }

    private val resumeKey = ByteArray(KEY_BYTES).also { SecureRandom().nextBytes(it) }
    private val live = CopyOnWriteArrayList<Entry>()

    /** How many entry instances take requests. */
    val size: Int get() = live.size

    /** Starts every entry instance; throws [CommandFailure] if one cannot bind. */
    suspend fun start() =
        plan.entryZones.forEachIndexed { index, _ ->
            val entry = Entry(settings(index).instanceId, EntryDaemon(settings(index)))
            entry.daemon.start().getOrElse { throw CommandFailure(it) }
            live += entry
        }

    /** Returns an entry instance, if possible another one than [other]. */
    fun any(
        random: Random,
        other: Entry? = null,
    ): Entry {
        val candidates = live.filter { it !== other }.ifEmpty { live }
        return candidates[random.nextInt(candidates.size)]
    }

    /** Shuts one entry instance down gracefully while callers still know it, and returns its id. */
    suspend fun shutDownOne(): InstanceId {
        val entry = live.first()
        notes.record(HistoryEvent.ShutdownStarted(notes.now(), entry.id))
        live.remove(entry)
        entry.daemon.leave()
        // The callers may still be reading the last bytes of their answers.
        delay(READING_MILLIS)
        notes.record(HistoryEvent.ShutdownFinished(notes.now(), entry.id, exitCode = 0))
        return entry.id
    }

    /** Ends every entry instance at once. */
    fun close() = live.forEach { it.daemon.close() }

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
        const val READING_MILLIS = 1_000L
    }
}
