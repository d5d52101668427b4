package org.comfreywall.bench.control;

import java.util.ArrayList;
import java.util.List;

/**
 * Linear regression by ordinary least squares.
 */
final class LinearRegression {

	private final List<Point> points = new ArrayList<>();

	void add(double x, double y) {
		this.points.add(new Point(x, y));
	}

	double slope() {
		double meanX = mean(true);
		double meanY = mean(false);
		double sumOfProducts = this.points.stream().mapToDouble((point) -> (point.x - meanX) * (point.y - meanY)).sum();
		double sumOfSquares = this.points.stream().mapToDouble((point) -> (point.x - meanX) * (point.x - meanX)).sum();
		return sumOfProducts / sumOfSquares;
	}

	double intercept() {
		return mean(false) - slope() * mean(true);
	}

	// Returns the mean of x, or that of y if ofX is false.
	private double mean(boolean ofX) {
		return this.points.stream().mapToDouble((point) -> ofX ? point.x : point.y).average().orElseThrow();
	}

	private record Point(double x, double y) {

	}

}
