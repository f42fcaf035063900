package io.sequoiawheel.daemon.http

/** Formats server-sent events. Token events bypass the JSON serializer: formatting them is the only work per token. */
internal object ServerSentEvents {
    private const val FIRST_PRINTABLE = ' '
    private const val HEX_RADIX = 16
    private const val ESCAPE_DIGITS = 4
    private const val EVENT_OVERHEAD = 40

    fun token(
        offset: Int,
        text: String,
    ): String =
        StringBuilder(EVENT_OVERHEAD + text.length)
            .append("id: ")
            .append(offset)
            .append("\nevent: token\ndata: {\"text\":\"")
            .appendJsonEscaped(text)
            .append("\"}\n\n")
            .toString()

    fun event(
        name: String,
        json: String,
    ): String = "event: $name\ndata: $json\n\n"

    private fun StringBuilder.appendJsonEscaped(text: String): StringBuilder {
        for (character in text) {
            when {
                character == '"' || character == '\\' -> append('\\').append(character)
                character >= FIRST_PRINTABLE -> append(character)
                else -> append("\\u").append(character.code.toString(HEX_RADIX).padStart(ESCAPE_DIGITS, '0'))
            }
        }
        return this
    }
}
