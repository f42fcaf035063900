package io.sequoiawheel.daemon.http

/** Writes server-sent events. Token events are built by hand: they are the only work that is done per token. */
internal object TokenEvents {
    private const val FIRST_PRINTABLE = ' '
    private const val HEX = 16
    private const val ESCAPE_DIGITS = 4
    private const val OVERHEAD = 40

    fun token(
        offset: Int,
        text: String,
    ): String =
        StringBuilder(OVERHEAD + text.length)
            .append("id: ")
            .append(offset)
            .append("\nevent: token\ndata: {\"text\":\"")
            .appendJson(text)
            .append("\"}\n\n")
            .toString()

    fun event(
        name: String,
        json: String,
    ): String = "event: $name\ndata: $json\n\n"

    private fun StringBuilder.appendJson(text: String): StringBuilder {
        for (character in text) {
            when {
                character == '"' || character == '\\' -> append('\\').append(character)
                character >= FIRST_PRINTABLE -> append(character)
                else -> append("\\u").append(character.code.toString(HEX).padStart(ESCAPE_DIGITS, '0'))
            }
        }
        return this
    }
}
