package io.sequoiawheel.standin.engine

import org.apache.commons.rng.sampling.distribution.LogNormalSampler
import org.apache.commons.rng.sampling.distribution.ZigguratSampler
import org.apache.commons.rng.simple.RandomSource
import kotlin.math.ln
import kotlin.math.roundToInt

/**
 * Samples output lengths. A length depends only on the seed, the generation id and the kind, so that every engine and
 * every policy gets the same workload.
 */
class OutputLengths(
    private val seed: Long,
    private val byKind: Map<String, LengthDistribution> = DEFAULTS,
) {
    /** Returns the output length of [request] in tokens, between 1 and the request's maximum. */
    fun draw(request: ModelRequest): Int {
        val distribution = byKind[request.kind] ?: FALLBACK
        val mixedSeed = request.generation.value.fold(seed) { hash, char -> (hash xor char.code.toLong()) * FNV_PRIME }
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(mixedSeed)
        val gaussian = ZigguratSampler.NormalizedGaussian.of(random)
        val sample = LogNormalSampler.of(gaussian, ln(distribution.medianTokens), distribution.sigma).sample()
        return sample.roundToInt().coerceIn(1, maxOf(1, request.maximumTokens))
    }

    companion object {
        /** Prime of the 64-bit FNV-1a hash. */
        private const val FNV_PRIME = 1_099_511_628_211L

        private val FALLBACK = LengthDistribution(medianTokens = 200.0, sigma = 1.0)

        /** Distributions of the prompt kinds that the deployments use. */
        val DEFAULTS =
            mapOf(
                "letter" to LengthDistribution(medianTokens = 700.0, sigma = 0.9),
                "summary" to LengthDistribution(medianTokens = 60.0, sigma = 0.6),
            )
    }
}
