package io.sequoiawheel.daemon.control

import io.sequoiawheel.core.model.Clock
import io.sequoiawheel.core.model.ServiceDocument
import io.sequoiawheel.core.model.ServiceName
import io.sequoiawheel.core.routing.Backoff
import io.sequoiawheel.core.routing.RetryBudget
import io.sequoiawheel.core.serving.Retries
import org.apache.commons.rng.UniformRandomProvider
import java.util.concurrent.ConcurrentHashMap

/** The retry budgets, one per service. A budget is replaced when the policy of its service changes. Thread-safe. */
internal class ServiceRetryBudgets(
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
            .compute(document.service) { _, current ->
                current?.takeIf { it.policy == document.retryBudget }
                    ?: Budget(document.retryBudget, RetryBudget(document.retryBudget))
            }!!
            .budget

    private class Budget(
        val policy: ServiceDocument.RetryPolicy,
        val budget: RetryBudget,
    )

    private companion object {
        // The runners limit the attempts of each request; the budget only limits the share of retries.
        const val SECOND_ATTEMPT = 2
    }
}
