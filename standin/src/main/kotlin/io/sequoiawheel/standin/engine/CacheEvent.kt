package io.sequoiawheel.standin.engine

/**
 * One change of the prompt-prefix cache.
 *
 * @property sequence number of the event since the engine's start; missing numbers are lost events
 * @property stored hashes of blocks that are now cached
 * @property evicted hashes of blocks that are no longer cached
 */
data class CacheEvent(
    val sequence: Long,
    val stored: List<Long>,
    val evicted: List<Long>,
)
