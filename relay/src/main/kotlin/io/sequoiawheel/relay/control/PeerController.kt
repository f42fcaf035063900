package io.sequoiawheel.relay.control

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.InstanceId
import io.sequoiawheel.core.model.ZoneName
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.PeerLoads
import io.sequoiawheel.core.relay.PeerReport
import io.sequoiawheel.core.relay.PeerWork
import io.sequoiawheel.core.relay.ReplicaDirectory
import io.sequoiawheel.core.routing.Backoff
import io.sequoiawheel.platform.PeerEntryCodec
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.relay.backend.awaitDone
import io.sequoiawheel.relay.internal.DecisionLog
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.commons.rng.UniformRandomProvider
import java.net.InetSocketAddress

/**
 * Exchanges load reports with the other instances by datagrams. The addresses come from the platform's store, read once
 * at the start; an instance that starts later is known by its first report. Confined to the event loop.
 */
internal class PeerController(
    private val instance: String,
    private val zone: ZoneName,
    private val endpoint: Endpoint,
    private val directory: ReplicaDirectory,
    private val loads: PeerLoads,
    private val store: StoreClient,
    private val clock: Clock,
    private val random: UniformRandomProvider,
    private val log: DecisionLog,
) {
    private val start = System.currentTimeMillis()
    private var sequence = 0L
    private var channel: Channel? = null
    private var lastWork: Map<InstanceId, PeerWork> = emptyMap()
    private var lastSentMillis: Long? = null
    private var rounds = 0L

    /** Listens for reports. */
    suspend fun start(eventLoop: EventLoop) {
        val bound =
            Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel::class.java)
                .handler(Receiver())
                .bind(endpoint.host, endpoint.port)
        bound.awaitDone()
        channel = bound.channel()
    }

    /** Makes the instance known and learns of the others, until the store has done both. */
    suspend fun introduce() {
        val backoff = Backoff()
        var failures = 0
        while (true) {
            val spec = PeerEntryCodec.encode(endpoint)
            val written =
                store.create(StoreKind.ENTRY_INSTANCES, instance, spec).fold({ failure ->
                    failure is StoreFailure.Conflict &&
                        store.replace(StoreKind.ENTRY_INSTANCES, instance, spec).isRight()
                }, { true })
            val listing = if (written) store.list(StoreKind.ENTRY_INSTANCES).fold({ null }, { it }) else null
            if (listing != null) {
                val others = listing.objects.filter { it.name != instance }.mapNotNull { PeerEntryCodec.decode(it) }
                others.forEach { loads.addEndpoint(it.toString()) }
                log.belief("instances listed", mapOf("others" to others.size))
                return
            }
            delay(backoff.delayMillis(++failures, random))
        }
    }

    /** Sends reports until cancelled: soon after the work at a replica changed, and regularly. */
    suspend fun report() {
        while (true) {
            delay(TICK_MILLIS)
            loads.apply(directory.all())
            val work = PeerLoads.work(directory.all())
            val isDue = lastSentMillis?.let { clock.nowMillis() - it >= HEARTBEAT_MILLIS } ?: true
            if (isDue || hasGenerationsChanged(work)) send(work, isLeaving = false)
        }
    }

    /** Tells the others that this instance is leaving, and removes its entry. */
    suspend fun leave() {
        send(emptyMap(), isLeaving = true)
        store.delete(StoreKind.ENTRY_INSTANCES, instance)
    }

    private fun hasGenerationsChanged(work: Map<InstanceId, PeerWork>): Boolean = memory(work) != memory(lastWork)

    /** Returns what generations hold and wait for; plain calls come and go too fast to be worth a report. */
    private fun memory(work: Map<InstanceId, PeerWork>): Map<InstanceId, Pair<Long, Long>> =
        work.mapValues { it.value.tokens to it.value.promptTokens }.filterValues { it.first > 0 }

    private fun send(
        work: Map<InstanceId, PeerWork>,
        isLeaving: Boolean,
    ) {
        val target = channel ?: return
        lastWork = work
        lastSentMillis = clock.nowMillis()
        val named = work.mapKeys { it.key.value }
        val report = PeerReport(instance, start, ++sequence, endpoint.toString(), named, isLeaving, zone.value)
        val bytes = Json.encodeToString(PeerReport.serializer(), report).toByteArray()
        for (destination in loads.destinations(includesSilent = rounds++ % SILENT_ROUNDS == 0L)) {
            val (host, port) = Endpoint.parseOrNull(destination) ?: continue
            val address = InetSocketAddress(host, port)
            target.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), address), target.voidPromise())
        }
        target.flush()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(
            context: ChannelHandlerContext,
            packet: DatagramPacket,
        ) {
            val bytes = ByteArray(packet.content().readableBytes())
            packet.content().readBytes(bytes)
            val report =
                try {
                    Json.decodeFromString(PeerReport.serializer(), String(bytes))
                } catch (unreadable: SerializationException) {
                    log.belief("report unreadable", mapOf("detail" to unreadable.message))
                    return
                }
            if (report.sender != instance) loads.receive(report)
        }

        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            // A destination without a listener is reported on the socket; its silence says the same.
            log.belief("datagram failed", mapOf("detail" to cause.message))
        }
    }

    private companion object {
        /** A new generation is told to the others before many more arrive. */
        const val TICK_MILLIS = 100L

        /** Silence longer than a few of these means that an instance is gone. */
        const val HEARTBEAT_MILLIS = 1_000L

        /** One in this many reports goes to silent addresses too. */
        const val SILENT_ROUNDS = 20L
    }
}
