package io.sequoiawheel.core.memory

/** Estimates of the memory of decoded messages on a 64-bit JVM, rounded up. */
object MemoryCost {
    /** A message or a part of a body with its buffer, without the content. */
    const val MESSAGE_BYTES = 256L

    /** One header with its entry, its name and its value, without their characters. */
    const val HEADER_BYTES = 224L

    /** Returns the memory of a head whose [characters] are spread over [lines]. */
    fun ofHead(
        characters: Long,
        lines: Int,
    ): Long = MESSAGE_BYTES + characters + lines * HEADER_BYTES
}
