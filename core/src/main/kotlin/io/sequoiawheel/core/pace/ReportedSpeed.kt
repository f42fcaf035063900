package io.sequoiawheel.core.pace

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.LongArraySerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import kotlin.math.roundToInt

/** What is known of the speed of one incarnation of a replica, by the clock of the local instance. */
internal data class KnownSpeed(
    val incarnation: Int,
    val observed: ObservedFactor?,
    val figure: SpeedFigure?,
)

/**
 * The speed of a replica in a message. Instances share no clock, so a figure has an age instead of a time.
 *
 * @property incarnation number derived from the start time of the replica
 * @property factor what streams showed, in hundredths, resting on [weight] observations; 0 if there are none
 * @property figure what the replica reported, in hundredths; 0 if it reported none
 */
@Serializable(with = ReportedSpeedSerializer::class)
data class ReportedSpeed(
    val incarnation: Int,
    val factor: Int,
    val weight: Int,
    val figure: Int = 0,
    val ageMillis: Long = 0,
) {
    /** Returns the speed, given when the message arrived. */
    internal fun received(atMillis: Long) =
        KnownSpeed(
            incarnation,
            if (weight > 0) ObservedFactor(factor / HUNDREDTHS, weight) else null,
            if (figure > 0) SpeedFigure(figure, atMillis - ageMillis) else null,
        )

    internal companion object {
        private const val HUNDREDTHS = 100.0

        /** Distinguishes successive incarnations in three digits. */
        private const val INCARNATIONS = 1_000L

        /** Returns the number of the incarnation that started at [startedAtMillis]. */
        fun incarnation(startedAtMillis: Long?): Int = startedAtMillis?.mod(INCARNATIONS)?.toInt() ?: 0

        /** Encodes [speed] at [nowMillis]. */
        fun of(
            speed: KnownSpeed,
            nowMillis: Long,
        ) = ReportedSpeed(
            speed.incarnation,
            ((speed.observed?.factor ?: 0.0) * HUNDREDTHS).roundToInt(),
            speed.observed?.weight ?: 0,
            speed.figure?.hundredths ?: 0,
            speed.figure?.let { (nowMillis - it.observedAtMillis).coerceAtLeast(0) } ?: 0,
        )
    }
}

/** Encodes the values as a list to keep messages small; without a figure its two values are omitted. */
internal object ReportedSpeedSerializer : KSerializer<ReportedSpeed> {
    private const val SHORT_COUNT = 3
    private const val LONG_COUNT = 5
    private const val MAXIMUM_VALUE = 1_000_000L
    private val listSerializer = LongArraySerializer()
    override val descriptor: SerialDescriptor = listSerializer.descriptor

    override fun serialize(
        encoder: Encoder,
        value: ReportedSpeed,
    ) {
        val learned = longArrayOf(value.incarnation.toLong(), value.factor.toLong(), value.weight.toLong())
        val reported = if (value.figure > 0) longArrayOf(value.figure.toLong(), value.ageMillis) else longArrayOf()
        listSerializer.serialize(encoder, learned + reported)
    }

    override fun deserialize(decoder: Decoder): ReportedSpeed {
        val values = listSerializer.deserialize(decoder)
        if (values.size != SHORT_COUNT && values.size != LONG_COUNT || values.any { it !in 0..MAXIMUM_VALUE }) {
            throw SerializationException("speed ${values.joinToString()} is not a factor and a figure")
        }
        val (incarnation, factor, weight) = values.map { it.toInt() }
        if (values.size == SHORT_COUNT) return ReportedSpeed(incarnation, factor, weight)
        return ReportedSpeed(incarnation, factor, weight, values[SHORT_COUNT].toInt(), values[LONG_COUNT - 1])
    }
}
