package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SlidingWindowRetryBudgetTest {
    private var nowMillis = 0L
    private val budget = SlidingWindowRetryBudget({ nowMillis }, ratio = 0.2, extra = { 5 }, windowMillis = 10_000)

    @Test
    fun `no window contains more retries than the ratio and the extra allow`() {
        val retries = ArrayList<Long>()
        val requests = ArrayList<Long>()
        repeat(3_000) {
            nowMillis += 20
            budget.recordRequest()
            requests += nowMillis
            if (budget.tryRetry()) retries += nowMillis
        }
        for (end in requests) {
            val inWindow = retries.count { it in end - 10_000..end }
            val allowed = requests.count { it in end - 10_000..end } * 0.2 + 5
            assertTrue(inWindow <= allowed, "$inWindow retries by $end ms, $allowed allowed")
        }
    }

    @Test
    fun `a failing service without traffic gets only the extra retries`() {
        assertEquals(5, (1..100).count { budget.tryRetry() })
        nowMillis = 10_001
        assertEquals(5, (1..100).count { budget.tryRetry() })
    }

    @Test
    fun `the extra retries follow changes of the configured number`() {
        var extra = 1
        val changing = SlidingWindowRetryBudget({ nowMillis }, ratio = 0.2, extra = { extra }, windowMillis = 10_000)
        assertEquals(1, (1..100).count { changing.tryRetry() })
        extra = 3
        assertEquals(2, (1..100).count { changing.tryRetry() })
    }

    // At least one retry for each instance is more than the common number in a large fleet.
    @Test
    fun `the extra retries of 7 to 340 instances add up to no more than the common number`() {
        for (instances in listOf(7, 18, 60, 95, 340)) {
            val shares =
                List(instances) { index ->
                    SlidingWindowRetryBudget.extraShare("desk", EXTRA, FixedFleet(instances, index, zones = 5))
                }
            assertTrue(shares.sum() in 1..EXTRA, "${shares.sum()} retries of $instances instances")
        }
    }

    private companion object {
        const val EXTRA = 54
    }
}
