package io.sequoiawheel.core.grant

/**
 * Times and shares of the grant protocol.
 *
 * @property leaseMillis how long a registration is in force after the ledger issued the nonce that was echoed last
 * @property leaseMarginMillis what a client waits beyond the lease before it registers elsewhere
 * @property grantUseMillis how long after it was asked for a grant may be used
 * @property creditMillis how long a client may use its credit after it sent its last answered heartbeat
 * @property settleMillis how long a ledger without all members waits before it grants; longer than [creditMillis]
 * @property takeoverMillis how long a ledger looks for load that it does not know after it began to grant
 * @property orphanMillis how long reservations of a lost instance stay; at least the resume window
 * @property creditShare share of the free room that is handed out as credit while no request is refused
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
