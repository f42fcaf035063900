package io.sequoiawheel.relay.control

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import io.sequoiawheel.core.relay.Endpoint
import io.sequoiawheel.core.relay.FleetReport
import io.sequoiawheel.core.relay.LoadExchange
import io.sequoiawheel.core.relay.OutgoingMessage
import io.sequoiawheel.core.relay.Peer
import io.sequoiawheel.core.relay.PeerMessage
import io.sequoiawheel.core.relay.PeerWork
import io.sequoiawheel.core.relay.Replica
import io.sequoiawheel.core.relay.ReplicaDirectory
import io.sequoiawheel.core.routing.Backoff
import io.sequoiawheel.platform.PeerEntryCodec
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.relay.backend.awaitDone
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.apache.commons.rng.UniformRandomProvider
import java.net.InetSocketAddress

/**
 * The transport of [LoadExchange]: sends and receives its messages as UDP datagrams. The addresses of the other
 * instances are read from the platform's store once at the start; an instance that starts later becomes known by its
 * first message. Confined to the event loop.
 */
internal class PeerController(
    private val self: Peer,
    private val directory: ReplicaDirectory,
    private val exchange: LoadExchange,
    private val store: StoreClient,
    private val random: UniformRandomProvider,
    private val log: DecisionLog,
    private val metrics: RelayMetrics,
    private val rollouts: RolloutController? = null,
) {
    private var channel: Channel? = null

    /** Datagrams sent so far. */
    var datagramsSent = 0L
        private set

    /** Bytes of the datagrams sent so far. */
    var bytesSent = 0L
        private set

    /** Starts to listen for load messages of other instances. */
    suspend fun start(eventLoop: EventLoop) {
        val bound =
            Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel::class.java)
                .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES))
                .handler(Receiver())
                .bind(self.endpoint.host, self.endpoint.port)
        bound.awaitDone()
        channel = bound.channel()
    }

    /** Registers the instance in the store and reads the list of the others; retries until both succeeded. */
    suspend fun register() {
        val backoff = Backoff()
        var failures = 0
        while (true) {
            val spec = PeerEntryCodec.encode(self)
            val isRegistered =
                store.create(StoreKind.ENTRY_INSTANCES, self.name, spec).fold({ failure ->
                    failure is StoreFailure.Conflict &&
                        store.replace(StoreKind.ENTRY_INSTANCES, self.name, spec).isRight()
                }, { true })
            val listing = if (isRegistered) listPeers() else null
            if (listing != null) {
                exchange.addListedPeers(listing.objects)
                log.stateChange("instances listed", mapOf("count" to listing.objects.size))
                return
            }
            delay(backoff.delayMillis(++failures, random))
        }
    }

    private suspend fun listPeers() =
        store.list(StoreKind.ENTRY_INSTANCES, decode = PeerEntryCodec::decode).fold({ null }, { it })

    /** Sends load reports until cancelled: soon after the work at a replica changed, and at regular intervals. */
    suspend fun report() {
        while (true) {
            delay(TICK_MILLIS)
            exchange.apply(directory.all())
            directory.markReportedLeaving(exchange.leavingReportedByPeers)
            directory.applyReportedLimits(exchange.limitsReportedByPeers).forEach(::logReportedLimit)
            rollouts?.let { exchange.ownVersions = it.tick(exchange.knownVersions()) }
            val work = LoadExchange.work(directory.all())
            send(exchange.tick(work, directory.announcedLeaving(), directory.observedLimits()))
        }
    }

    private fun logReportedLimit(replica: Replica) =
        log.stateChange(
            "request limit of a replica changed",
            mapOf(
                "replica" to replica.toString(),
                "perSecond" to replica.requestLimit.perSecond,
                "source" to "peer",
            ),
        )

    /** Tells the instances of the zone that this one sends a generation of [work] to [replica]. */
    fun announceStart(
        replica: Replica,
        work: PeerWork,
    ) {
        if (!exchange.announcesStarts) return
        val notice = exchange.noticeOfStart(replica.entry.id.value, work)
        metrics.count("generation.starts", if (notice == null) "not announced" else "announced")
        notice?.let { send(listOf(it)) }
    }

    /** Announces to the other instances that this one is leaving, and removes its entry from the store. */
    suspend fun deregister() {
        send(listOf(exchange.leave()))
        store.delete(StoreKind.ENTRY_INSTANCES, self.name)
    }

    private fun send(messages: List<OutgoingMessage>) {
        val target = channel ?: return
        for (outgoing in messages) {
            if (outgoing.destinations.isEmpty()) continue
            val bytes = outgoing.message.encode().toByteArray()
            datagramsSent += outgoing.destinations.size
            bytesSent += outgoing.destinations.size.toLong() * bytes.size
            for (destination in outgoing.destinations) {
                val address = InetSocketAddress(destination.host, destination.port)
                target.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), address), target.voidPromise())
            }
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
            val message =
                try {
                    PeerMessage.decode(String(bytes))
                } catch (unreadable: SerializationException) {
                    return logUnreadable(unreadable.message)
                }
            val addresses = listOf(message.endpoint) + (message as? FleetReport)?.addresses.orEmpty().values
            val invalid = addresses.firstOrNull { Endpoint.parseOrNull(it)?.isReachable != true }
            if (invalid != null) return logUnreadable("no address with a port: ${invalid.take(SHOWN_CHARACTERS)}")
            send(exchange.receive(message))
            if (exchange.announcesStarts) exchange.applyWork(directory.all())
        }

        private fun logUnreadable(detail: String?) {
            metrics.count("peer.messages", "unreadable")
            log.stateChange("peer message unreadable", mapOf("detail" to detail?.take(MAXIMUM_DETAIL_CHARACTERS)))
        }

        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            // The destination has no listener. It counts as terminated once its load messages are missing, so a log
            // line is enough.
            log.stateChange("peer datagram failed", mapOf("detail" to cause.message))
        }
    }

    private companion object {
        /** Short enough that the other instances learn of a new generation before many more arrive. */
        const val TICK_MILLIS = 100L

        /** Largest payload of a UDP datagram; the default receive buffer would truncate the totals of a large fleet. */
        const val MAXIMUM_DATAGRAM_BYTES = 65_507
        const val MAXIMUM_DETAIL_CHARACTERS = 200
        const val SHOWN_CHARACTERS = 64
    }
}
