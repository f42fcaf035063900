/*
 * Further answers that a replica writes on a connection after a complete one: the same, with another status, or to
 * another request; whole or cut off.
 */
package io.sequoiawheel.standin.platform

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource

/** When a second answer is written. */
enum class SecondMoment {
    AT_ONCE,

    /** Some time later, unless an answer is being written then. */
    LATER,

    /** In one write with the answer to the next request. */
    WITH_NEXT,

    /** When the next request has arrived, some milliseconds before its answer. */
    BEFORE_NEXT,
}

/** @property delayMillis time before the write if [moment] is [SecondMoment.LATER], else the time after it */
class SecondAnswer(
    val moment: SecondMoment,
    val text: String,
    val count: Int,
    val delayMillis: Long,
)

class SecondAnswers(
    seed: Long,
) {
    private val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)

    /** Returns what follows [answer]. Some of the pieces name [otherId] instead of the answer's own request. */
    @Synchronized
    fun draw(
        answer: String,
        otherId: String,
    ): SecondAnswer {
        val moment = SecondMoment.entries[random.nextInt(SecondMoment.entries.size)]
        val count = if (oneIn(SERIES)) random.nextInt(2, LONGEST_SERIES + 1) else 1
        val text = (1..count).joinToString("") { cut(reframe(vary(answer, otherId))) }
        val delayMillis = random.nextInt(if (moment == SecondMoment.LATER) LATEST_MILLIS else GAP_MILLIS).toLong()
        return SecondAnswer(moment, text, count, delayMillis)
    }

    @Synchronized
    fun isDue(percent: Int): Boolean = random.nextInt(HUNDRED) < percent

    private fun vary(
        answer: String,
        otherId: String,
    ): String =
        when (random.nextInt(VARIATIONS)) {
            0 -> answer.replaceFirst(STATUS_LINE, if (STATUS_OK in answer) SERVER_ERROR else STATUS_OK)
            1 -> answer.replaceFirst(ID_LINE, "X-Request-Id: $otherId\r\n")
            else -> answer
        }

    /** Removes the framing of the body, or encodes it in chunks, or leaves it. */
    private fun reframe(answer: String): String {
        val head = answer.substringBefore(HEAD_END)
        val body = answer.substringAfter(HEAD_END)
        if (oneIn(FRAMINGS)) return head.replace(FRAMING, "") + HEAD_END + body
        if (!oneIn(FRAMINGS) || body.isEmpty() || "Content-Length" !in head) return answer
        val chunked = head.replace(FRAMING, "") + "\r\nTransfer-Encoding: chunked"
        return "$chunked$HEAD_END${body.length.toString(HEX)}\r\n$body\r\n0\r\n\r\n"
    }

    private fun cut(answer: String): String {
        if (random.nextBoolean()) return answer
        val headLength = answer.indexOf(HEAD_END) + HEAD_END.length
        return answer.take(random.nextInt(1, if (random.nextBoolean()) headLength else answer.length))
    }

    private fun oneIn(count: Int) = random.nextInt(count) == 0

    private companion object {
        const val HUNDRED = 100
        const val SERIES = 4
        const val LONGEST_SERIES = 3
        const val VARIATIONS = 4
        const val FRAMINGS = 5
        const val LATEST_MILLIS = 80
        const val GAP_MILLIS = 6
        const val HEX = 16
        const val HEAD_END = "\r\n\r\n"
        const val STATUS_OK = "HTTP/1.1 200 OK"
        const val SERVER_ERROR = "HTTP/1.1 500 Internal Server Error"
        val STATUS_LINE = Regex("""^HTTP/1.1 \d+ [^\r]*""")
        val ID_LINE = Regex("X-Request-Id: [^\r]*\r\n")
        val FRAMING = Regex("\r\n(Content-Length|Transfer-Encoding): [^\r]*")
    }
}
