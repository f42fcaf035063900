package io.sequoiawheel.experiment.virtual

import io.sequoiawheel.core.model.Clock
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import kotlin.time.Duration.Companion.minutes

/** Runs coroutines in virtual time, on the calling thread. */
internal object VirtualTime {
    private val WALL_CLOCK_TIMEOUT = 10.minutes

    /** Runs [block] and returns its result; its background coroutines are cancelled when it ends. */
    fun <T> run(block: suspend TestScope.() -> T): T {
        var result: Result<T>? = null
        runTest(timeout = WALL_CLOCK_TIMEOUT) { result = Result.success(block()) }
        return result!!.getOrThrow()
    }

    /** Returns the clock of this scope. */
    fun TestScope.clock(): Clock = Clock { currentTime }

    /** Returns a random number generator that depends only on [seed] and [purpose]. */
    fun random(
        seed: Long,
        purpose: String,
    ): UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * SEED_MULTIPLIER + purpose.hashCode())

    private const val SEED_MULTIPLIER = 1_000_003L
}
