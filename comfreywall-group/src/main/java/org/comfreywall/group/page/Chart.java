package org.comfreywall.group.page;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Draws one SVG chart of samples over time.
 */
final class Chart {

	private static final int WIDTH = 900;

	private static final int HEIGHT = 220;

	private static final int LEFT = 70;

	private static final int BOTTOM = 24;

	private static final int TOP = 12;

	private static final int GRID_LINES = 4;

	private final List<PageSample> samples;

	private final double least;

	private final double greatest;

	private final StringBuilder content = new StringBuilder();

	Chart(String title, List<PageSample> samples, double least, double greatest) {
		this.samples = samples;
		this.least = least;
		this.greatest = (greatest > least) ? greatest : least + 1;
		append("<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %d %d\" role=\"img\" aria-label=\"%s\">%n",
				WIDTH, HEIGHT, Html.escape(title));
		grid();
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
		double width = Math.max(1, (double) (WIDTH - LEFT) / Math.max(1, this.samples.size()) - 1);
		for (int index = 0; index < this.samples.size(); index++) {
			double number = value.applyAsDouble(this.samples.get(index));
			if (number > this.least) {
				append("<rect class=\"%s\" x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\"/>%n", style, x(index),
						y(number), width, HEIGHT - BOTTOM - y(number));
			}
		}
		return this;
	}

	String toSvg() {
		return this.content + timeLabels() + "</svg>\n";
	}

	private void grid() {
		for (int line = 0; line <= GRID_LINES; line++) {
			double value = this.least + (this.greatest - this.least) * line / GRID_LINES;
			append("<line class=\"grid\" x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\"/>%n", LEFT, y(value), WIDTH,
					y(value));
			append("<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%.3f</text>%n", LEFT - 6, y(value) + 4, value);
		}
	}

	private String timeLabels() {
		if (this.samples.isEmpty()) {
			return "";
		}
		String first = this.samples.get(0).at().toString();
		String last = this.samples.get(this.samples.size() - 1).at().toString();
		return String.format(Locale.ROOT,
				"<text x=\"%d\" y=\"%d\">%s</text>%n<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text>%n", LEFT,
				HEIGHT - 6, Html.escape(first), WIDTH, HEIGHT - 6, Html.escape(last));
	}

	private double x(int index) {
		return LEFT + (double) (WIDTH - LEFT) * index / Math.max(1, this.samples.size());
	}

	private double y(double value) {
		return HEIGHT - BOTTOM - (HEIGHT - BOTTOM - TOP) * (value - this.least) / (this.greatest - this.least);
	}

	private void append(String format, Object... args) {
		this.content.append(String.format(Locale.ROOT, format, args));
	}

}
