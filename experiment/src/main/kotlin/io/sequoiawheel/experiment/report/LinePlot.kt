package io.sequoiawheel.experiment.report

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.Styler
import java.awt.Color
import java.nio.file.Path

/**
 * A line plot with one line per series. Rendering works without a display.
 *
 * @property series points by series name; x and y must be finite
 * @property isLogarithmic whether the y axis is logarithmic, in which case every y must be above 0
 */
data class LinePlot(
    val title: String,
    val xTitle: String,
    val yTitle: String,
    val series: Map<String, List<Point>>,
    val isLogarithmic: Boolean = false,
) {
    /** One data point. */
    data class Point(
        val x: Double,
        val y: Double,
    )

    /** Writes the plot to [file] as PNG. */
    fun write(file: Path) {
        val chart =
            XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(title)
                .xAxisTitle(xTitle)
                .yAxisTitle(yTitle)
                .build()
        chart.styler.legendPosition = Styler.LegendPosition.OutsideE
        chart.styler.chartBackgroundColor = Color.WHITE
        chart.styler.isYAxisLogarithmic = isLogarithmic
        series.forEach { (name, points) ->
            chart.addSeries(name, points.map { it.x }.toDoubleArray(), points.map { it.y }.toDoubleArray())
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG)
    }

    private companion object {
        const val WIDTH_PIXELS = 900
        const val HEIGHT_PIXELS = 480
    }
}
