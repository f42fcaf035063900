/*
 * Accounting of the memory that an instance holds for its peers. Each connection has an account, all accounts share one
 * total. When the total is used up, the accounts that hold the most memory for the least recent progress are evicted,
 * so that peers which stop just short of their end cannot keep others from being served. Bytes that are reserved
 * include the overhead of the objects that hold them, see [MemoryCost].
 */
package io.sequoiawheel.core.memory

import io.sequoiawheel.core.model.Clock
import kotlin.math.ceil

/**
 * The memory that all accounts may hold together. Not thread-safe.
 *
 * @param initialTotalBytes the most that all accounts hold together, until [raiseTotal]
 * @property newcomerBytes what one account may take from the reserve, which larger accounts cannot use up
 * @param reserveShare share of the total that is left to accounts of at most [newcomerBytes]
 */
class MemoryBudget(
    initialTotalBytes: Long,
    val newcomerBytes: Long,
    private val clock: Clock,
    private val reserveShare: Double = RESERVE_SHARE,
) {
    /** The most that all accounts hold together. */
    var totalBytes = initialTotalBytes
        private set

    /** What accounts of more than [newcomerBytes] leave to smaller ones. */
    private val reserveBytes: Long get() = (totalBytes * reserveShare).toLong()
    private val accounts = LinkedHashSet<MemoryAccount>()

    /** Memory that all accounts hold at present. */
    var heldBytes = 0L
        private set

    /** Largest value of [heldBytes] so far. */
    var peakBytes = 0L
        private set

    /** Number of open accounts. */
    val accountCount: Int get() = accounts.size

    /**
     * Opens an account, which its owner must close. [onEvicted] is called after the account was closed for the benefit
     * of another one; the owner then drops what it holds.
     */
    fun open(onEvicted: () -> Unit): MemoryAccount =
        MemoryAccount(this, onEvicted, clock.nowMillis()).also { accounts += it }

    /** Raises the total so that an account on its own can hold [bytes]. */
    fun raiseTotal(bytes: Long) {
        if (totalBytes - reserveBytes < bytes) totalBytes = ceil(bytes / (1 - reserveShare)).toLong()
    }

    internal fun tryReserve(
        account: MemoryAccount,
        bytes: Long,
    ): Boolean {
        val isWithinReserve = account.heldBytes + bytes <= newcomerBytes
        val limit = if (isWithinReserve) totalBytes else totalBytes - reserveBytes
        val nowMillis = clock.nowMillis()
        while (heldBytes + bytes > limit) {
            if (account.heldBytes + bytes > limit) return false
            val slowest = slowest(account, bytes, nowMillis) ?: return false
            if (slowest === account) return false
            slowest.evict()
            if (account.isClosed) return false
        }
        if (account.heldBytes == 0L) account.startHolding(nowMillis)
        add(bytes)
        return true
    }

    /**
     * Returns the account to be evicted so that [requester] can hold [bytes] more: the slow one that makes the least
     * progress for its bytes, or else the youngest of the large ones, so that those which started first are completed.
     */
    private fun slowest(
        requester: MemoryAccount,
        bytes: Long,
        nowMillis: Long,
    ): MemoryAccount? {
        val candidates = accounts.filter { it.isEvictable && (it.heldBytes > 0 || it === requester) }
        val slow = candidates.filter { it.isSlow(nowMillis) }
        if (slow.isNotEmpty()) return slow.minBy { it.progressShare(nowMillis) }
        return candidates.lastOrNull { it.heldBytes + (if (it === requester) bytes else 0) > newcomerBytes }
    }

    internal fun add(bytes: Long) {
        heldBytes += bytes
        peakBytes = maxOf(peakBytes, heldBytes)
    }

    internal fun remove(account: MemoryAccount) {
        accounts -= account
        heldBytes -= account.heldBytes
    }

    internal fun nowMillis(): Long = clock.nowMillis()

    private companion object {
        const val RESERVE_SHARE = 0.25
    }
}
