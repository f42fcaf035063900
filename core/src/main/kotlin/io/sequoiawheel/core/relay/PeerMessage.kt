/*
 * What entry instances tell each other about the work that they have at the replicas. Messages are datagrams: they may
 * be lost, repeated or overtake one another, so each carries whole figures and a number that tells the newer one.
 */
package io.sequoiawheel.core.relay

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.LongArraySerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlinx.serialization.json.Json

/** The work of one or several instances at one replica: requests, memory in tokens, prompts not yet read in tokens. */
@Serializable(with = PeerWorkSerializer::class)
data class PeerWork(
    val running: Int,
    val tokens: Long,
    val promptTokens: Long = 0,
) {
    operator fun plus(other: PeerWork) =
        PeerWork(running + other.running, tokens + other.tokens, promptTokens + other.promptTokens)

    operator fun minus(other: PeerWork) =
        PeerWork(
            (running - other.running).coerceAtLeast(0),
            (tokens - other.tokens).coerceAtLeast(0),
            (promptTokens - other.promptTokens).coerceAtLeast(0),
        )
}

/** Work by the id of the replica. */
typealias WorkByReplica = Map<String, PeerWork>

/** The starts of replicas that told an instance that they leave, in Unix milliseconds, by the id of the replica. */
typealias StartsByReplica = Map<String, Long>

/** Returns the sums by replica. */
fun Iterable<WorkByReplica>.total(): WorkByReplica {
    val sums = HashMap<String, PeerWork>()
    for (work in this) work.forEach { (replica, part) -> sums.merge(replica, part, PeerWork::plus) }
    return sums
}

/** Writes the three figures as a list: a message names up to all replicas, and its bytes cross availability zones. */
internal object PeerWorkSerializer : KSerializer<PeerWork> {
    private const val FIGURES = 3
    private val figures = LongArraySerializer()
    override val descriptor: SerialDescriptor = figures.descriptor

    override fun serialize(
        encoder: Encoder,
        value: PeerWork,
    ) = figures.serialize(encoder, longArrayOf(value.running.toLong(), value.tokens, value.promptTokens))

    override fun deserialize(decoder: Decoder): PeerWork {
        val values = figures.deserialize(decoder)
        if (values.size != FIGURES) throw SerializationException("work has ${values.size} figures")
        return PeerWork(values[0].toInt(), values[1], values[2])
    }
}

/**
 * One message.
 *
 * @property sender name of the instance
 * @property start tells two incarnations of the sender apart; the later one has the larger number
 * @property sequence grows with each message of an incarnation
 * @property endpoint where the sender listens for messages, as `host:port`
 * @property zone the sender's availability zone
 * @property leaving replicas that announced their leaving in an answer, as far as the sender's part of the fleet knows
 */
@Serializable
sealed interface PeerMessage {
    val sender: String
    val start: Long
    val sequence: Long
    val endpoint: String
    val zone: String
    val leaving: StartsByReplica

    /** Whether this message was sent before [other] of the same sender, or is the same one. */
    fun isNotNewerThan(other: PeerMessage): Boolean =
        start < other.start || start == other.start && sequence <= other.sequence

    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        /** Returns the message in [text], or throws [SerializationException]. */
        fun decode(text: String): PeerMessage = Json.decodeFromString(serializer(), text)
    }
}

/**
 * The work of one instance.
 *
 * @property wantsSums whether the receiver is to sum up the zone's work and tell the sender
 */
@Serializable
@SerialName("i")
data class PeerReport(
    @SerialName("i") override val sender: String,
    @SerialName("s") override val start: Long,
    @SerialName("n") override val sequence: Long,
    @SerialName("e") override val endpoint: String,
    @SerialName("w") val work: WorkByReplica,
    @SerialName("l") val isLeaving: Boolean = false,
    @SerialName("z") override val zone: String = "",
    @SerialName("a") val wantsSums: Boolean = false,
    @SerialName("q") override val leaving: StartsByReplica = emptyMap(),
) : PeerMessage

/**
 * The work of all instances of the sender's zone, told to the other zones.
 *
 * @property isForwarded whether an instance of the receiving zone passed it on
 */
@Serializable
@SerialName("z")
data class ZoneReport(
    @SerialName("i") override val sender: String,
    @SerialName("s") override val start: Long,
    @SerialName("n") override val sequence: Long,
    @SerialName("e") override val endpoint: String,
    @SerialName("z") override val zone: String,
    @SerialName("c") val instances: Int,
    @SerialName("w") val work: WorkByReplica,
    @SerialName("f") val isForwarded: Boolean = false,
    @SerialName("q") override val leaving: StartsByReplica = emptyMap(),
) : PeerMessage

/**
 * The work of all instances of all zones, told to the instances of the sender's zone.
 *
 * @property instances how many instances reported lately, in all zones
 * @property members the newest report of each instance of the zone that [work] includes, by its sequence number
 * @property addresses where the members listen; left out of most messages
 */
@Serializable
@SerialName("f")
data class FleetReport(
    @SerialName("i") override val sender: String,
    @SerialName("s") override val start: Long,
    @SerialName("n") override val sequence: Long,
    @SerialName("e") override val endpoint: String,
    @SerialName("z") override val zone: String,
    @SerialName("c") val instances: Int,
    @SerialName("w") val work: WorkByReplica,
    @SerialName("m") val members: Map<String, Long>,
    @SerialName("d") val addresses: Map<String, String> = emptyMap(),
    @SerialName("q") override val leaving: StartsByReplica = emptyMap(),
) : PeerMessage
