package io.sequoiawheel.relay.control

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.relay.Freshness
import io.sequoiawheel.core.relay.LoadExchange
import io.sequoiawheel.core.relay.ReplicaDirectory
import io.sequoiawheel.core.relay.RolloutBounds
import io.sequoiawheel.core.rollout.RolloutGate
import io.sequoiawheel.relay.internal.DecisionLog
import io.sequoiawheel.relay.internal.RelayMetrics
import kotlinx.coroutines.CoroutineScope
import org.apache.commons.rng.UniformRandomProvider

/**
 * What carries out rollouts at an instance of a deployment that asks for them. Confined to the event loop.
 *
 * @param wallClock Unix time, which the status in the store holds
 */
internal class Rollouts(
    bounds: RolloutBounds,
    directory: ReplicaDirectory,
    loads: LoadExchange,
    freshness: Freshness,
    store: StoreClient,
    scope: CoroutineScope,
    random: UniformRandomProvider,
    clock: Clock,
    wallClock: Clock,
    log: DecisionLog,
    metrics: RelayMetrics,
) {
    private val contact = RolloutContact(bounds, loads, freshness, clock)

    /** Decides which versions may receive requests. */
    val gate = RolloutGate(bounds, clock, random, loads::instanceCount, contact::isPresent)

    /** Follows the orders in the store. */
    val controller =
        RolloutController(
            gate,
            directory,
            loads,
            contact,
            RolloutStatusWriter(store, scope, clock),
            clock,
            wallClock,
            log,
            metrics,
        )
}
