package io.sequoiawheel.core.grant

/**
 * Durations and shares of the grant protocol.
 *
 * @property leaseMillis how long a registration lasts after the ledger issued the most recently echoed nonce
 * @property leaseMarginMillis how long a client waits beyond the lease before it registers elsewhere
 * @property grantUseMillis how long after its request a grant may be used
 * @property creditMillis how long a client may use its credit after sending the last heartbeat that was answered
 * @property settleMillis how long a ledger with missing members waits before it grants; longer than [creditMillis]
 * @property takeoverMillis how long a ledger checks for unexplained load after it began to grant
 * @property orphanMillis how long reservations of a lost instance are kept; at least the resume window
 * @property creditShare share of the free capacity that is granted as credit while no request is refused
 */
data class GrantSettings(
    val leaseMillis: Long = 3_000,
    val leaseMarginMillis: Long = 500,
    val grantUseMillis: Long = 1_000,
    val creditMillis: Long = 10_000,
    val settleMillis: Long = 15_000,
    val takeoverMillis: Long = 60_000,
    val orphanMillis: Long = 30_000,
    val creditShare: Double = 0.25,
)
