/*
 * The faults of a run: a pure function of seed, duration and number of instances. Faults of different kinds overlap;
 * those that stop instances are kept apart far enough that half of the instances keep serving.
 */
package io.sequoiawheel.soak.plan

import kotlinx.serialization.Serializable
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource

@Serializable
enum class FaultKind {
    /** SIGTERM while callers hold open connections; the instance is started again after its end. */
    SHUTDOWN,

    /** SIGSTOP and SIGCONT, then SIGTERM once the pause excuses nothing that is sent at the end. */
    PAUSE_BEFORE_SHUTDOWN,
    PAUSE,
    KILL,
    RELOAD,

    /** Replicas refuse the first arrival of each request. */
    REFUSAL,

    /** Replicas also write each refusal once more on the connection. */
    REPEATED_REFUSAL,
    REPLICA_CRASH,
    REPLICA_DEPARTURE,

    /** Streams break off in the middle of an event. */
    STREAM_BREAK,

    /** Streams break off, and the next replica answers by an error. */
    STREAM_BREAK_THEN_ERROR,
    ODD_ENTRY,

    /** Replicas crash when they begin an answer to prompts with a certain part, and callers send such prompts. */
    CRASHING_PART,
    STORE_OUTAGE,
    PATH_DELAY,
    PATH_RESET,
    PATH_SILENCE,
    PATH_ONE_WAY,
    PATH_IDLE_DROP,
    PATH_TORN_WRITES,

    /** Replicas write further answers after complete ones. */
    SECOND_ANSWER,

    /** Engines work on after their connections closed, and stop runs late, after several requests, or never. */
    STUBBORN_SOURCE,

    /** Callers close their connections in the middle of calls and streams. */
    CALLERS_LEAVE,

    /** An engine leaves, and an instance gets SIGKILL or SIGTERM up to 300 ms later. */
    KILL_DURING_MOVE,
    ;

    /** Whether the fault stops an instance. */
    val stopsInstance: Boolean
        get() = this in setOf(SHUTDOWN, PAUSE_BEFORE_SHUTDOWN, PAUSE, KILL, KILL_DURING_MOVE)
}

@Serializable
enum class Path { CALLER, REPLICA, STORE }

/**
 * One fault. [target] selects an instance or a replica, modulo their number; [variant] selects one of several forms.
 */
@Serializable
data class PlannedFault(
    val kind: FaultKind,
    val atMillis: Long,
    val durationMillis: Long,
    val target: Int,
    val path: Path,
    val variant: Int,
)

@Serializable
data class FaultPlan(
    val faults: List<PlannedFault>,
) {
    companion object {
        /** Faults before this time would meet instances without any call. */
        private const val FIRST_MILLIS = 1_500L

        /** Time at the end without new faults, in which the last ones end. */
        private const val QUIET_MILLIS = 3_000L
        private const val SHORTEST_MILLIS = 300
        private const val LONGEST_MILLIS = 1_800
        private const val SHORTEST_GAP_MILLIS = 150
        private const val LONGEST_GAP_MILLIS = 900
        private const val VARIANTS = 16

        /** An instance that was stopped needs this long to be back: grace period, start, readiness. */
        private const val RETURN_MILLIS = 9_000L

        /** Returns the plan of [seed] with faults of [kinds] for a run of [durationMillis]. */
        fun create(
            seed: Long,
            durationMillis: Long,
            instances: Int,
            kinds: List<FaultKind>,
        ): FaultPlan {
            require(kinds.isNotEmpty()) { "a plan needs kinds of faults" }
            val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
            val faults = ArrayList<PlannedFault>()
            val stoppedUntil = HashMap<Int, Long>()
            var atMillis = FIRST_MILLIS
            while (atMillis < durationMillis - QUIET_MILLIS) {
                val fault = draw(random, atMillis, instances, kinds)
                val stopped = stoppedUntil.filterValues { it > atMillis }.keys
                val isTooMany = fault.target in stopped || (stopped.size + 1) * 2 > instances
                if (!fault.kind.stopsInstance) {
                    faults += fault
                } else if (!isTooMany) {
                    faults += fault
                    stoppedUntil[fault.target] = atMillis + fault.durationMillis + RETURN_MILLIS
                }
                atMillis += random.nextInt(SHORTEST_GAP_MILLIS, LONGEST_GAP_MILLIS)
            }
            return FaultPlan(faults)
        }

        private fun draw(
            random: UniformRandomProvider,
            atMillis: Long,
            instances: Int,
            kinds: List<FaultKind>,
        ) = PlannedFault(
            kind = kinds[random.nextInt(kinds.size)],
            atMillis = atMillis,
            durationMillis = random.nextInt(SHORTEST_MILLIS, LONGEST_MILLIS).toLong(),
            target = random.nextInt(instances),
            path = Path.entries[random.nextInt(Path.entries.size)],
            variant = random.nextInt(VARIANTS),
        )
    }
}
