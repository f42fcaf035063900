/*
 * Load messages between instances. They are sent as datagrams, which may be lost, duplicated or reordered, so each
 * message carries absolute values and a sequence number that identifies the newer one. The sums of a zone are the load
 * of its instances; the totals are the load of the instances of all zones.
 */
package io.sequoiawheel.core.relay

import io.sequoiawheel.core.model.NestingLimit
import io.sequoiawheel.core.pace.ReportedSpeed
import io.sequoiawheel.core.quarantine.PartReport
import io.sequoiawheel.core.rollout.RolloutReport
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.LongArraySerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlinx.serialization.json.Json

/**
 * The load of one or more instances on a replica: requests, memory in tokens, and unprocessed prompts in tokens.
 *
 * @property copies copies of runs that are made or kept there; a message has them in a field of its own, since
 *   instances of earlier versions accept only three values
 */
@Serializable(with = PeerWorkSerializer::class)
data class PeerWork(
    val running: Int,
    val tokens: Long,
    val promptTokens: Long = 0,
    val copies: Int = 0,
) {
    operator fun plus(other: PeerWork) =
        PeerWork(
            running + other.running,
            tokens + other.tokens,
            promptTokens + other.promptTokens,
            copies + other.copies,
        )

    operator fun minus(other: PeerWork) =
        PeerWork(
            (running - other.running).coerceAtLeast(0),
            (tokens - other.tokens).coerceAtLeast(0),
            (promptTokens - other.promptTokens).coerceAtLeast(0),
            (copies - other.copies).coerceAtLeast(0),
        )
}

/** Load by replica id. */
typealias WorkByReplica = Map<String, PeerWork>

/** Copies of runs by replica id. */
typealias CopiesByReplica = Map<String, Int>

/** Returns the copies of each replica that has any. */
internal fun WorkByReplica.copies(): CopiesByReplica = mapValues { it.value.copies }.filterValues { it > 0 }

/** Returns this work with [copies] added to it. */
private fun WorkByReplica.withCopies(copies: CopiesByReplica): WorkByReplica {
    if (copies.values.any { it !in 0..MAXIMUM_COPIES }) throw SerializationException("copies are out of range: $copies")
    return listOf(this, copies.mapValues { PeerWork(0, 0, copies = it.value) }).sumByReplica()
}

/** Far above what any replica holds; sums of a large fleet's values do not overflow. */
private const val MAXIMUM_COPIES = 100_000

/** Start times, in Unix milliseconds, of replicas that announced that they are leaving, by replica id. */
typealias StartsByReplica = Map<String, Long>

/** Returns the sum per replica. */
fun Iterable<WorkByReplica>.sumByReplica(): WorkByReplica {
    val sums = HashMap<String, PeerWork>()
    for (work in this) work.forEach { (replica, part) -> sums.merge(replica, part, PeerWork::plus) }
    return sums
}

/** Encodes the values as a list to keep messages small; they may list all replicas and cross availability zones. */
internal object PeerWorkSerializer : KSerializer<PeerWork> {
    private const val VALUE_COUNT = 3

    /** Far above the load on any replica; sums of a large fleet's values do not overflow. */
    private const val MAXIMUM_RUNNING = 100_000L
    private const val MAXIMUM_TOKENS = 100_000_000_000L
    private val listSerializer = LongArraySerializer()
    override val descriptor: SerialDescriptor = listSerializer.descriptor

    override fun serialize(
        encoder: Encoder,
        value: PeerWork,
    ) = listSerializer.serialize(encoder, longArrayOf(value.running.toLong(), value.tokens, value.promptTokens))

    override fun deserialize(decoder: Decoder): PeerWork {
        val values = listSerializer.deserialize(decoder)
        if (values.size != VALUE_COUNT) throw SerializationException("work has ${values.size} values")
        if (values[0] !in 0..MAXIMUM_RUNNING || values[1] !in 0..MAXIMUM_TOKENS || values[2] !in 0..MAXIMUM_TOKENS) {
            throw SerializationException("work is out of range: ${values.joinToString()}")
        }
        return PeerWork(values[0].toInt(), values[1], values[2])
    }
}

/**
 * A load message.
 *
 * @property sender name of the instance
 * @property start start time of the sender in Unix milliseconds, which identifies its incarnation; a later one has a
 *   larger number
 * @property sequence increases with each message of an incarnation
 * @property endpoint where the sender listens for messages, as `host:port`
 * @property zone the sender's availability zone
 * @property leaving replicas that announced in a response, to one of the instances whose load the message includes,
 *   that they are leaving
 * @property limits request limits that replicas named, by replica id
 * @property parts what the sender knows of prompt parts that end replicas
 * @property speeds how long work takes at replicas, by replica id; only what changed notably
 * @property versions what the instances whose load the message includes know of rollouts
 * @property copies copies of runs that are made or kept at replicas; a decoded message has them in its work too
 */
@Serializable
sealed interface PeerMessage {
    val sender: String
    val start: Long
    val sequence: Long
    val endpoint: String
    val zone: String
    val leaving: StartsByReplica
    val limits: Map<String, ReportedLimit>
    val parts: PartReport
    val speeds: Map<String, ReportedSpeed>
    val versions: RolloutReport
    val copies: CopiesByReplica

    /** Whether this message is not newer than [other], a message of the same sender. */
    fun isNotNewerThan(other: PeerMessage): Boolean =
        start < other.start || start == other.start && sequence <= other.sequence

    fun encode(): String = Json.encodeToString(serializer(), this)

    companion object {
        /** Messages of later versions may have more fields. */
        private val json = Json { ignoreUnknownKeys = true }

        /** Decodes the message in [text], or throws [SerializationException]. */
        fun decode(text: String): PeerMessage {
            if (NestingLimit.isExceededBy(text)) {
                throw SerializationException("nested more than ${NestingLimit.MAXIMUM_DEPTH} deep")
            }
            val message = withCopies(json.decodeFromString(serializer(), text))
            val instances =
                when (message) {
                    is PeerReport -> 1
                    is ZoneReport -> message.instanceCount
                    is FleetReport -> message.instanceCount
                }
            if (instances !in 1..MAXIMUM_INSTANCES) throw SerializationException("message of $instances instances")
            return message
        }

        private fun withCopies(message: PeerMessage): PeerMessage {
            if (message.copies.isEmpty()) return message
            return when (message) {
                is PeerReport -> message.copy(work = message.work.withCopies(message.copies))
                is ZoneReport -> message.copy(work = message.work.withCopies(message.copies))
                is FleetReport -> message.copy(work = message.work.withCopies(message.copies))
            }
        }

        /** Far above the size of any fleet. */
        private const val MAXIMUM_INSTANCES = 100_000
    }
}

/**
 * The load of one instance.
 *
 * @property wantsTotals whether the receiver should aggregate the load and send the totals to the sender
 * @property starts generations that have just started; a message with such is a notice and says nothing else. Its
 *   sequence is 0, so that instances that do not know notices take it for an old report
 * @property startsSequence the first report of the sender that includes them
 * @property storeEra a question about the era of the store, or the answer to one; omitted from all other reports
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
    @SerialName("a") val wantsTotals: Boolean = false,
    @SerialName("q") override val leaving: StartsByReplica = emptyMap(),
    @SerialName("r") override val limits: Map<String, ReportedLimit> = emptyMap(),
    @SerialName("p") override val parts: PartReport = PartReport.NONE,
    @SerialName("sp") override val speeds: Map<String, ReportedSpeed> = emptyMap(),
    @SerialName("v") override val versions: RolloutReport = RolloutReport.NONE,
    @SerialName("cp") override val copies: CopiesByReplica = emptyMap(),
    @SerialName("k") val starts: WorkByReplica = emptyMap(),
    @SerialName("ks") val startsSequence: Long = 0,
    @SerialName("er") val storeEra: EraReport? = null,
) : PeerMessage

/**
 * The load of all instances of the sender's zone, sent to the other zones.
 *
 * @property instanceCount number of instances that the load includes
 * @property isForwarded whether an instance of the receiving zone forwarded it
 */
@Serializable
@SerialName("z")
data class ZoneReport(
    @SerialName("i") override val sender: String,
    @SerialName("s") override val start: Long,
    @SerialName("n") override val sequence: Long,
    @SerialName("e") override val endpoint: String,
    @SerialName("z") override val zone: String,
    @SerialName("c") val instanceCount: Int,
    @SerialName("w") val work: WorkByReplica,
    @SerialName("f") val isForwarded: Boolean = false,
    @SerialName("q") override val leaving: StartsByReplica = emptyMap(),
    @SerialName("r") override val limits: Map<String, ReportedLimit> = emptyMap(),
    @SerialName("p") override val parts: PartReport = PartReport.NONE,
    @SerialName("sp") override val speeds: Map<String, ReportedSpeed> = emptyMap(),
    @SerialName("v") override val versions: RolloutReport = RolloutReport.NONE,
    @SerialName("cp") override val copies: CopiesByReplica = emptyMap(),
) : PeerMessage

/**
 * The load of all instances of all zones, sent to the instances of the sender's zone.
 *
 * @property instanceCount number of instances in all zones that reported recently
 * @property members sequence number of the latest report that [work] includes, per instance of the zone
 * @property addresses endpoints of the members; omitted from most messages
 */
@Serializable
@SerialName("f")
data class FleetReport(
    @SerialName("i") override val sender: String,
    @SerialName("s") override val start: Long,
    @SerialName("n") override val sequence: Long,
    @SerialName("e") override val endpoint: String,
    @SerialName("z") override val zone: String,
    @SerialName("c") val instanceCount: Int,
    @SerialName("w") val work: WorkByReplica,
    @SerialName("m") val members: Map<String, Long>,
    @SerialName("d") val addresses: Map<String, String> = emptyMap(),
    @SerialName("q") override val leaving: StartsByReplica = emptyMap(),
    @SerialName("r") override val limits: Map<String, ReportedLimit> = emptyMap(),
    @SerialName("p") override val parts: PartReport = PartReport.NONE,
    @SerialName("sp") override val speeds: Map<String, ReportedSpeed> = emptyMap(),
    @SerialName("v") override val versions: RolloutReport = RolloutReport.NONE,
    @SerialName("cp") override val copies: CopiesByReplica = emptyMap(),
) : PeerMessage
