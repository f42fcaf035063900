package io.sequoiawheel.core.model

/**
 * Bounds the nesting of JSON text before it is parsed, so that neither the parser's limit nor the call stack depends on
 * text from outside. The scan keeps a depth instead of a call per level, and leaves the syntax to the parser.
 */
object NestingLimit {
    /** Several times the nesting of any document or message, and far from the end of a small call stack. */
    const val MAXIMUM_DEPTH = 32

    /** Whether [text] is nested more than [MAXIMUM_DEPTH] deep. */
    fun isExceededBy(text: String): Boolean {
        var isExceeded = false
        scan(text) { _, depth -> isExceeded = isExceeded || depth > MAXIMUM_DEPTH }
        return isExceeded
    }

    /**
     * Returns [text] with each object or list at [depth], counted from 1, that exceeds the limit replaced by null, so
     * that the rest of the document remains readable.
     */
    fun replaceExceeding(
        text: String,
        depth: Int,
    ): String {
        if (!isExceededBy(text)) return text
        val result = StringBuilder()
        var copiedTo = 0
        var start = 0
        var deepest = 0
        var previous = 0
        scan(text) { index, current ->
            val isOpening = current > previous
            previous = current
            if (isOpening && current == depth) {
                start = index
                deepest = depth
            }
            deepest = maxOf(deepest, current)
            if (!isOpening && current == depth - 1 && deepest > MAXIMUM_DEPTH) {
                result.append(text, copiedTo, start).append("null")
                copiedTo = index + 1
                deepest = 0
            }
        }
        return result.append(text, copiedTo, text.length).toString()
    }

    /** Calls [onBracket] with the index of each bracket outside of strings and the depth behind it. */
    private inline fun scan(
        text: String,
        onBracket: (index: Int, depth: Int) -> Unit,
    ) {
        var depth = 0
        var isString = false
        var isEscaped = false
        for (index in text.indices) {
            val character = text[index]
            when {
                isEscaped -> isEscaped = false
                isString && character == '\\' -> isEscaped = true
                character == '"' -> isString = !isString
                isString -> Unit
                character == '{' || character == '[' -> onBracket(index, ++depth)
                character == '}' || character == ']' -> onBracket(index, --depth)
            }
        }
    }
}
