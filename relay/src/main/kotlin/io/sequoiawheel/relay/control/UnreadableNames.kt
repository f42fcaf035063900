package io.sequoiawheel.relay.control

/** The names of objects that cannot be read and were reported, of which at most [MAXIMUM] are kept. */
internal class UnreadableNames {
    private val names = HashSet<String>()

    /** Number of the names, at most [MAXIMUM]. */
    val count: Int get() = names.size

    /** Adds [name], and returns whether it is a new one that is kept. */
    fun add(name: String): Boolean = names.size < MAXIMUM && names.add(name)

    fun remove(name: String) {
        names.remove(name)
    }

    fun clear() = names.clear()

    companion object {
        const val MAXIMUM = 100
    }
}
