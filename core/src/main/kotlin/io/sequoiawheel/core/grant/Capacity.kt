package io.sequoiawheel.core.grant

/**
 * An amount of a replica's capacity: total, reserved, free or granted as credit.
 *
 * @property tokens prompt tokens plus predicted output tokens
 * @property requests number of concurrent requests
 */
data class Capacity(
    val tokens: Long = 0,
    val requests: Int = 0,
) {
    operator fun plus(other: Capacity): Capacity = Capacity(tokens + other.tokens, requests + other.requests)

    operator fun minus(other: Capacity): Capacity = Capacity(tokens - other.tokens, requests - other.requests)

    /** Returns whether [other] fits into this capacity. */
    fun covers(other: Capacity): Boolean = other.tokens <= tokens && other.requests <= requests

    /** Returns the maximum of both capacities in each dimension. */
    fun componentwiseMax(other: Capacity): Capacity =
        Capacity(maxOf(tokens, other.tokens), maxOf(requests, other.requests))

    companion object {
        val NONE = Capacity()
    }
}
