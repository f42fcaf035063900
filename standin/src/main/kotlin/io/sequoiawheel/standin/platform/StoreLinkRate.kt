package io.sequoiawheel.standin.platform

import java.io.OutputStream

/** Sends the bodies of responses at a limited rate. */
class StoreLinkRate internal constructor() {
    /** Bytes of each body that are sent in a second, or null if there is no limit. */
    @Volatile
    var bytesPerSecond: Int? = null

    internal fun send(
        bytes: ByteArray,
        body: OutputStream,
    ) {
        val rate = bytesPerSecond ?: return body.write(bytes)
        for (start in bytes.indices step PART_BYTES) {
            body.write(bytes, start, minOf(PART_BYTES, bytes.size - start))
            body.flush()
            Thread.sleep(PART_BYTES * MILLIS_PER_SECOND / rate)
        }
    }

    private companion object {
        const val PART_BYTES = 16_384
        const val MILLIS_PER_SECOND = 1_000L
    }
}
