package io.sequoiawheel.cli

/** Formats rows in left-aligned columns that are separated by two spaces. */
object TextTable {
    private const val COLUMN_SEPARATOR = "  "

    /** Returns a table with [header] as its first line. Each of [rows] must have as many cells as the header. */
    fun format(
        header: List<String>,
        rows: List<List<String>>,
    ): String {
        require(rows.all { it.size == header.size }) { "every row must have ${header.size} cells" }
        val all = listOf(header) + rows
        val widths = header.indices.map { column -> all.maxOf { it[column].length } }
        return all.joinToString("\n") { row -> formatRow(row, widths) }
    }

    private fun formatRow(
        row: List<String>,
        widths: List<Int>,
    ): String = row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString(COLUMN_SEPARATOR).trimEnd()
}
