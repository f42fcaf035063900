package io.sequoiawheel.relay.control

import io.sequoiawheel.platform.StoreEntrySize

/** How far a listing, or the response to a watch, has been read, for the log. */
internal class StoreReading {
    /** Number of entries read so far. */
    var entries = 0L
        private set

    /** Entries without a name, of which nothing can be kept. */
    var nameless = 0L
        private set

    private var pages = 0
    private var bytes = 0L
    private var lastEntry: String? = null

    fun beginPage() {
        pages++
    }

    fun recordPart(partBytes: Int) {
        bytes += partBytes
    }

    fun recordEntry(name: String) {
        entries++
        lastEntry = name
    }

    fun recordNameless(size: StoreEntrySize) {
        entries++
        nameless++
        lastEntry = "entry ${size.number} of ${size.bytes} bytes without a name"
    }

    override fun toString() = "page $pages, $bytes bytes, $entries entries, last ${lastEntry?.take(SHOWN_CHARACTERS)}"

    private companion object {
        const val SHOWN_CHARACTERS = 64
    }
}
