package org.comfreywall.group.page;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Renders samples over time as an SVG chart with a linear value axis.
 */
final class Chart {

	/** Width of the view box, in SVG units like all lengths below. */
	private static final int WIDTH = 900;

	private static final int HEIGHT = 220;

	private static final int LEFT_MARGIN = 70;

	private static final int BOTTOM_MARGIN = 24;

	private static final int TOP_MARGIN = 12;

	private static final int GRID_LINES = 4;

	private final List<PageSample> samples;

	private final double min;

	private final double max;

	private final StringBuilder content = new StringBuilder();

	Chart(String title, List<PageSample> samples, double min, double max) {
		this.samples = samples;
		this.min = min;
		this.max = (max > min) ? max : min + 1;
		append("<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" role=\"img\" aria-label=\"%s\">%n",
				WIDTH, HEIGHT, Html.escape(title));
		appendGrid();
	}

	Chart line(String style, ToDoubleFunction<PageSample> value) {
		StringBuilder points = new StringBuilder();
		for (int index = 0; index < this.samples.size(); index++) {
			double height = y(value.applyAsDouble(this.samples.get(index)));
			points.append(String.format(Locale.ROOT, "%.1f,%.1f ", x(index), height));
		}
		append("<polyline class=\"%s\" points=\"%s\"/>%n", style, points.toString().strip());
		return this;
	}

	Chart bars(String style, ToDoubleFunction<PageSample> value) {
		double width = Math.max(1, (double) (WIDTH - LEFT_MARGIN) / Math.max(1, this.samples.size()) - 1);
		for (int index = 0; index < this.samples.size(); index++) {
			double number = value.applyAsDouble(this.samples.get(index));
			if (number > this.min) {
				append("<rect class=\"%s\" x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\"/>%n", style, x(index),
						y(number), width, HEIGHT - BOTTOM_MARGIN - y(number));
			}
		}
		return this;
	}

	String toSvg() {
		return this.content + timeLabels() + "</svg>\n";
	}

	private void appendGrid() {
		for (int line = 0; line <= GRID_LINES; line++) {
			double value = this.min + (this.max - this.min) * line / GRID_LINES;
			append("<line class=\"grid\" x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\"/>%n", LEFT_MARGIN, y(value), WIDTH,
					y(value));
			append("<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%.3f</text>%n", LEFT_MARGIN - 6, y(value) + 4, value);
		}
	}

	private String timeLabels() {
		if (this.samples.isEmpty()) {
			return "";
		}
		String first = this.samples.get(0).at().toString();
		String last = this.samples.get(this.samples.size() - 1).at().toString();
		return String.format(Locale.ROOT,
				"<text x=\"%d\" y=\"%d\">%s</text>%n<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>%n",
				LEFT_MARGIN, HEIGHT - 6, Html.escape(first), WIDTH, HEIGHT - 6, Html.escape(last));
	}

	private double x(int index) {
		return LEFT_MARGIN + (double) (WIDTH - LEFT_MARGIN) * index / Math.max(1, this.samples.size());
	}

	private double y(double value) {
		return HEIGHT - BOTTOM_MARGIN
				- (HEIGHT - BOTTOM_MARGIN - TOP_MARGIN) * (value - this.min) / (this.max - this.min);
	}

	private void append(String format, Object... args) {
		this.content.append(String.format(Locale.ROOT, format, args));
	}

}
