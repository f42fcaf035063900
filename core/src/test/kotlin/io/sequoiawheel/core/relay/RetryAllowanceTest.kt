package io.sequoiawheel.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RetryAllowanceTest {
    private var nowMillis = 0L
    private val allowance = RetryAllowance({ nowMillis }, ratio = 0.2, extra = { 5 }, windowMillis = 10_000)

    @Test
    fun `in no window are there more repeats than the ratio and the extra allow`() {
        val repeats = ArrayList<Long>()
        val requests = ArrayList<Long>()
        repeat(3_000) {
            nowMillis += 20
            allowance.request()
            requests += nowMillis
            if (allowance.tryRepeat()) repeats += nowMillis
        }
        for (end in requests) {
            val inWindow = repeats.count { it in end - 10_000..end }
            val allowed = requests.count { it in end - 10_000..end } * 0.2 + 5
            assertTrue(inWindow <= allowed, "$inWindow repeats by $end ms, $allowed allowed")
        }
    }

    @Test
    fun `a failing service without traffic gets the extra only`() {
        assertEquals(5, (1..100).count { allowance.tryRepeat() })
        nowMillis = 10_001
        assertEquals(5, (1..100).count { allowance.tryRepeat() })
    }

    @Test
    fun `the extra follows the number of instances`() {
        var extra = 1
        val changing = RetryAllowance({ nowMillis }, ratio = 0.2, extra = { extra }, windowMillis = 10_000)
        assertEquals(1, (1..100).count { changing.tryRepeat() })
        extra = 3
        assertEquals(2, (1..100).count { changing.tryRepeat() })
    }
}
