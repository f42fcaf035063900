package io.sequoiawheel.core.relay

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.LongArraySerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/**
 * The request limit of a replica as an instance observed it.
 *
 * @property startedAtMillis start time of the replica's incarnation in Unix milliseconds
 * @property perSecond requests per second, or null if the replica named no limit any longer
 * @property observedAtMillis when the response that said so arrived, by the clock of the local instance
 */
data class LimitObservation(
    val startedAtMillis: Long,
    val perSecond: Double?,
    val observedAtMillis: Long,
)

/** The latest observations by replica id. */
typealias LimitsByReplica = Map<String, LimitObservation>

/** Returns the latest observation per replica; a later incarnation supersedes an earlier one. */
internal fun Iterable<LimitsByReplica>.latestByReplica(): LimitsByReplica {
    val order = compareBy<LimitObservation>({ it.startedAtMillis }, { it.observedAtMillis })
    val latest = HashMap<String, LimitObservation>()
    for (limits in this) {
        limits.forEach { (id, limit) ->
            latest.merge(id, limit) { one, other -> maxOf(one, other, order) }
        }
    }
    return latest
}

/**
 * An observation in a message. Instances share no clock, so it has an age instead of a time.
 *
 * @property milliPerSecond the limit in thousandths of a request per second, or null if it has ended
 */
@Serializable(with = ReportedLimitSerializer::class)
data class ReportedLimit(
    val startedAtMillis: Long,
    val milliPerSecond: Long?,
    val ageMillis: Long,
) {
    /** Returns the observation, given when the message arrived. */
    internal fun received(atMillis: Long) =
        LimitObservation(startedAtMillis, milliPerSecond?.let { it / MILLI }, atMillis - ageMillis)

    internal companion object {
        private const val MILLI = 1_000.0

        /** Encodes [limits] at [nowMillis]. */
        fun of(
            limits: LimitsByReplica,
            nowMillis: Long,
        ): Map<String, ReportedLimit> =
            limits.mapValues { (_, limit) ->
                ReportedLimit(
                    limit.startedAtMillis,
                    limit.perSecond?.let { (it * MILLI).toLong() },
                    (nowMillis - limit.observedAtMillis).coerceAtLeast(0),
                )
            }
    }
}

/** Encodes the values as a list to keep messages small; an ended limit is -1. */
internal object ReportedLimitSerializer : KSerializer<ReportedLimit> {
    private const val VALUE_COUNT = 3
    private const val ENDED = -1L
    private val listSerializer = LongArraySerializer()
    override val descriptor: SerialDescriptor = listSerializer.descriptor

    override fun serialize(
        encoder: Encoder,
        value: ReportedLimit,
    ) = listSerializer.serialize(
        encoder,
        longArrayOf(value.startedAtMillis, value.milliPerSecond ?: ENDED, value.ageMillis),
    )

    override fun deserialize(decoder: Decoder): ReportedLimit {
        val values = listSerializer.deserialize(decoder)
        if (values.size != VALUE_COUNT || values[2] < 0) {
            throw SerializationException("limit ${values.joinToString()} is not a start, a rate and an age")
        }
        return ReportedLimit(values[0], values[1].takeIf { it >= 0 }, values[2])
    }
}

/** Returns the limits in requests per second, without what dates them. */
internal fun LimitsByReplica.rates(): Map<String, Double?> = mapValues { it.value.perSecond }
