package io.sequoiawheel.relay.control

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import io.sequoiawheel.core.relay.LoadExchange
import io.sequoiawheel.core.relay.OutgoingMessage
import io.sequoiawheel.core.relay.Peer
import io.sequoiawheel.core.relay.PeerMessage
import io.sequoiawheel.core.relay.ReplicaDirectory
import io.sequoiawheel.core.routing.Backoff
import io.sequoiawheel.platform.PeerEntryCodec
import io.sequoiawheel.platform.StoreKind
import io.sequoiawheel.relay.backend.awaitDone
import io.sequoiawheel.relay.internal.DecisionLog
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.apache.commons.rng.UniformRandomProvider
import java.net.InetSocketAddress

/**
 * Carries out what [LoadExchange] decides: sends and receives its messages as datagrams. The addresses of the others
 * come from the platform's store, read once at the start; an instance that starts later is known by its first message.
 * Confined to the event loop.
 */
internal class PeerController(
    private val self: Peer,
    private val directory: ReplicaDirectory,
    private val exchange: LoadExchange,
    private val store: StoreClient,
    private val random: UniformRandomProvider,
    private val log: DecisionLog,
) {
    private var channel: Channel? = null

    /** Datagrams sent so far. */
    var datagramsSent = 0L
        private set

    /** Bytes of the datagrams sent so far. */
    var bytesSent = 0L
        private set

    /** Listens for reports. */
    suspend fun start(eventLoop: EventLoop) {
        val bound =
            Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel::class.java)
                .handler(Receiver())
                .bind(self.endpoint.host, self.endpoint.port)
        bound.awaitDone()
        channel = bound.channel()
    }

    /** Makes the instance known and learns of the others, until the store has done both. */
    suspend fun introduce() {
        val backoff = Backoff()
        var failures = 0
        while (true) {
            val spec = PeerEntryCodec.encode(self)
            val written =
                store.create(StoreKind.ENTRY_INSTANCES, self.name, spec).fold({ failure ->
                    failure is StoreFailure.Conflict &&
                        store.replace(StoreKind.ENTRY_INSTANCES, self.name, spec).isRight()
                }, { true })
            val listing = if (written) store.list(StoreKind.ENTRY_INSTANCES).fold({ null }, { it }) else null
            if (listing != null) {
                exchange.addListedPeers(listing.objects.mapNotNull { PeerEntryCodec.decode(it) })
                log.belief("instances listed", mapOf("count" to listing.objects.size))
                return
            }
            delay(backoff.delayMillis(++failures, random))
        }
    }

    /** Sends reports until cancelled: soon after the work at a replica changed, and regularly. */
    suspend fun report() {
        while (true) {
            delay(TICK_MILLIS)
            exchange.apply(directory.all())
            directory.markReportedLeaving(exchange.leavingReportedByPeers)
            send(exchange.tick(LoadExchange.work(directory.all()), directory.announcedLeaving()))
        }
    }

    /** Tells the others that this instance is leaving, and removes its entry. */
    suspend fun leave() {
        send(listOf(exchange.leave()))
        store.delete(StoreKind.ENTRY_INSTANCES, self.name)
    }

    private fun send(sendings: List<OutgoingMessage>) {
        val target = channel ?: return
        for (sending in sendings) {
            if (sending.destinations.isEmpty()) continue
            val bytes = sending.message.encode().toByteArray()
            datagramsSent += sending.destinations.size
            bytesSent += sending.destinations.size.toLong() * bytes.size
            for (destination in sending.destinations) {
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
                    log.belief("report unreadable", mapOf("detail" to unreadable.message))
                    return
                }
            send(exchange.receive(message))
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
    }
}
