package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.routing.Backoff
import io.sequoiawheel.core.routing.RetryBudget
import io.sequoiawheel.core.serving.Retries
import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.ConcurrentHashMap

/** One retry budget per service, replaced when the service's policy changes. Thread-safe. */
internal class ServiceRetries(
    private val clock: Clock,
    private val random: UniformRandomProvider,
) : Retries {
    private val budgets = ConcurrentHashMap<ServiceName, Budget>()
    private val backoff = Backoff()

    override fun onFirstAttempt(document: ServiceDocument) = budgetOf(document).recordFirstAttempt()

    override fun tryAcquire(document: ServiceDocument): Boolean =
        budgetOf(document).tryAttempt(SECOND_ATTEMPT, clock.nowMillis())

    override fun backoffMillis(attempt: Int): Long = backoff.delayMillis(attempt - 1, random)

    private fun budgetOf(document: ServiceDocument): RetryBudget =
        budgets
            .compute(document.service) { _, old ->
                old?.takeIf { it.policy == document.retryBudget }
                    ?: Budget(document.retryBudget, RetryBudget(document.retryBudget))
            }!!
            .budget

    private class Budget(
        val policy: ServiceDocument.RetryPolicy,
        val budget: RetryBudget,
    )

    private companion object {
        // The runners count the attempts of a request themselves; the budget only bounds their share.
        const val SECOND_ATTEMPT = 2
    }
}
