package io.sequoiawheel.relay.backend

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/**
 * Responses that belong to no request in progress, whole or cut at any byte, once or several in succession, at each
 * moment around the next request, and each kind of response to that request.
 */
class ForeignResponseTest {
    private class Case(
        val pieces: List<String>,
        val own: OwnResponse,
        val moment: ForeignMoment,
        val outcome: ForeignOutcome,
    ) {
        override fun toString() = "$outcome for $own after $pieces $moment"
    }

    /** The cases of one foreign response that show a fault. */
    private class Faults(
        cases: List<Case>,
        foreign: ForeignResponse,
    ) {
        private val count = cases.size
        val mixed = cases.filter { it.outcome is ForeignOutcome.Received && it.outcome != it.own.expected }
        val waiting = cases.filter { it.outcome == ForeignOutcome.Pending }
        val lost =
            cases.filter { case ->
                val isWhole = foreign.isSkippable && case.pieces.all { it == foreign.text }
                val isExpected = isWhole && case.moment.isAfterSend || case.pieces.all { it.isEmpty() }
                isExpected && case.outcome != case.own.expected
            }

        fun assertNone(faults: List<Case>) =
            assertTrue(faults.isEmpty()) {
                "${faults.size} of $count cases: " + faults.take(SHOWN_CASES).joinToString("\n")
            }
    }

    private fun faultsOf(foreign: ForeignResponse): Faults =
        RESULTS.getOrPut(foreign) {
            val cases = (0..foreign.text.length).flatMap { series(foreign, it) }.flatMap { cases(foreign, it) }
            Faults(cases, foreign)
        }

    /** Returns the bytes of [foreign] that end after [bytes], alone and with others in succession. */
    private fun series(
        foreign: ForeignResponse,
        bytes: Int,
    ): List<List<String>> {
        val piece = foreign.text.take(bytes)
        return listOf(listOf(piece), listOf(piece, piece), listOf(piece, foreign.text), listOf(foreign.text, piece))
    }

    private fun cases(
        foreign: ForeignResponse,
        pieces: List<String>,
    ): List<Case> =
        ForeignMoment.entries.flatMap { moment ->
            // A connection that is not used again does not depend on the response to the next request.
            val responses = if (moment.isAfterSend) OwnResponse.entries else listOf(OwnResponse.FAILURE)
            responses.map { own ->
                val exchange = ForeignExchange(pieces.joinToString(""), foreign.method)
                Case(pieces, own, moment, exchange.run(own, moment))
            }
        }

    // A caller received a success where the replica had responded with a failure, or a body of another response.
    @ParameterizedTest
    @EnumSource
    internal fun `status, signature and body are those of the own response whatever precedes it`(
        foreign: ForeignResponse,
    ) = faultsOf(foreign).run { assertNone(mixed) }

    // A late copy of a response with a body cost the response to a HEAD request, and the other way round.
    @ParameterizedTest
    @EnumSource
    internal fun `the own response is delivered after whole responses to other requests`(foreign: ForeignResponse) =
        faultsOf(foreign).run { assertNone(lost) }

    // The body of a late response that broke off swallowed the own response: the exchange waited until its deadline.
    @ParameterizedTest
    @EnumSource
    internal fun `no exchange waits on when its response was received`(foreign: ForeignResponse) =
        faultsOf(foreign).run { assertNone(waiting) }

    private companion object {
        const val SHOWN_CASES = 4

        /** The results are checked by several tests. */
        val RESULTS = HashMap<ForeignResponse, Faults>()
    }
}
