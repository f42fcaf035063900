package io.sequoiawheel.standin.engine

/**
 * A change to the contents of the prompt-prefix cache.
 *
 * @property sequence event number since the engine started; a gap in the numbers means lost events
 * @property stored hashes of blocks that are now cached
 * @property evicted hashes of blocks that are no longer cached
 */
data class CacheEvent(
    val sequence: Long,
    val stored: List<Long>,
    val evicted: List<Long>,
)
