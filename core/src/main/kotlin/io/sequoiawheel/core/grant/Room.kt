package io.sequoiawheel.core.grant

/**
 * An amount of work at one replica.
 *
 * @property tokens prompt plus predicted output
 * @property requests concurrent requests
 */
data class Room(
    val tokens: Long = 0,
    val requests: Int = 0,
) {
    operator fun plus(other: Room): Room = Room(tokens + other.tokens, requests + other.requests)

    operator fun minus(other: Room): Room = Room(tokens - other.tokens, requests - other.requests)

    /** Returns whether [other] can be taken out of this room. */
    fun covers(other: Room): Boolean = other.tokens <= tokens && other.requests <= requests

    /** Returns the larger amount in each dimension. */
    fun orAtLeast(other: Room): Room = Room(maxOf(tokens, other.tokens), maxOf(requests, other.requests))

    companion object {
        val NONE = Room()
    }
}
