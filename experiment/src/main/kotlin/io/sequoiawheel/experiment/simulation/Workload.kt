package io.sequoiawheel.experiment.simulation

import io.sequoiawheel.core.model.RequestId
import io.sequoiawheel.core.model.WorkspaceName
import io.sequoiawheel.standin.engine.LengthDistribution
import io.sequoiawheel.standin.engine.ModelRequest
import io.sequoiawheel.standin.engine.OutputLengths
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.sampling.distribution.LogNormalSampler
import org.apache.commons.rng.sampling.distribution.ZigguratSampler
import org.apache.commons.rng.simple.RandomSource
import kotlin.math.ln
import kotlin.math.roundToInt

/**
 * Generates seeded Poisson arrivals of several request kinds from workspaces of different sizes.
 *
 * @param blockTokens tokens per block of a prompt's hash chain
 */
class Workload(
    private val traffic: List<WorkspaceTraffic> = TEN_WORKSPACES,
    private val blockTokens: Int = 16,
) {
    private val cumulativeShares = traffic.runningFold(0.0) { sum, workspace -> sum + workspace.share }.drop(1)

    /** Returns the output lengths of this workload under [seed]; each workspace has its own distribution. */
    fun lengths(seed: Long): OutputLengths {
        val distributions =
            traffic.flatMap { workspace ->
                KINDS.map { kind ->
                    val median = kind.outputMedian * workspace.lengthFactor
                    "${kind.name}/${workspace.workspace}" to LengthDistribution(median, kind.outputSigma)
                }
            }
        return OutputLengths(seed, distributions.toMap())
    }

    /** Returns the arrivals during [durationMillis] at [ratePerSecond], spread over [entries] entry instances. */
    fun arrivals(
        seed: Long,
        ratePerSecond: Double,
        durationMillis: Double,
        entries: Int,
    ): List<Arrival> {
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
        return generateSequence(nextGap(random, ratePerSecond)) { it + nextGap(random, ratePerSecond) }
            .takeWhile { it < durationMillis }
            .mapIndexed { index, at -> arrival(index, at, random.nextInt(entries), random) }
            .toList()
    }

    private fun nextGap(
        random: UniformRandomProvider,
        ratePerSecond: Double,
    ): Double = -ln(1 - random.nextDouble()) / ratePerSecond * MILLIS_PER_SECOND

    private fun arrival(
        index: Int,
        atMillis: Double,
        entry: Int,
        random: UniformRandomProvider,
    ): Arrival {
        val workspace = pickWorkspace(random)
        val kind = if (random.nextDouble() < workspace.letterShare) LETTER else SUMMARY
        val gaussian = ZigguratSampler.NormalizedGaussian.of(random)
        val sampledTokens = LogNormalSampler.of(gaussian, ln(kind.promptMedian), kind.promptSigma).sample().roundToInt()
        val ownTokens = sampledTokens.coerceIn(MINIMUM_PROMPT, kind.promptMaximum)
        val prefixTokens = if (kind === LETTER) workspace.prefixTokens else 0
        val request =
            ModelRequest(
                generation = RequestId("r$index"),
                model = Topology.MODEL,
                kind = "${kind.name}/${workspace.workspace}",
                promptTokens = prefixTokens + ownTokens,
                maximumTokens = kind.outputMaximum,
                promptBlocks = prefixChain(workspace.workspace, prefixTokens),
            )
        return Arrival(atMillis, entry, workspace.workspace, kind.name, request)
    }

    private fun pickWorkspace(random: UniformRandomProvider): WorkspaceTraffic {
        val point = random.nextDouble() * cumulativeShares.last()
        val found = cumulativeShares.binarySearch(point)
        return traffic[if (found < 0) -found - 1 else found]
    }

    private fun prefixChain(
        workspace: WorkspaceName,
        prefixTokens: Int,
    ): List<Long> = List(prefixTokens / blockTokens) { workspace.value.hashCode() * CHAIN_STRIDE + it }

    private class Kind(
        val name: String,
        val promptMedian: Double,
        val promptSigma: Double,
        val promptMaximum: Int,
        val outputMedian: Double,
        val outputSigma: Double,
        val outputMaximum: Int,
    )

    companion object {
        private const val MILLIS_PER_SECOND = 1000.0
        private const val MINIMUM_PROMPT = 8
        private const val CHAIN_STRIDE = 1_000_003L

        private val LETTER = Kind("letter", 300.0, 0.6, 2_000, 700.0, 0.9, 4_096)
        private val SUMMARY = Kind("summary", 1_200.0, 0.5, 4_000, 60.0, 0.6, 512)
        private val KINDS = listOf(LETTER, SUMMARY)

        /** Ten workspaces, three of them large, with output lengths from 0.5 to 1.5 times the usual. */
        val TEN_WORKSPACES =
            listOf(0.30 to 1.0, 0.22 to 0.6, 0.15 to 1.4).mapIndexed { index, (share, factor) ->
                WorkspaceTraffic(WorkspaceName("large-$index"), share, factor)
            } +
                List(7) { WorkspaceTraffic(WorkspaceName("small-$it"), 0.33 / 7, 0.5 + it / 6.0) }
    }
}
