package org.comfreywall.bench;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.comfreywall.bench.placement.PlacementMeasurement;
import org.comfreywall.bench.spread.ControlSpreadMeasurement;
import org.comfreywall.bench.spread.SpreadRandom;

/**
 * Knows the measurements by name.
 */
final class MeasurementRegistry {

	private final Map<String, Supplier<Measurement>> measurements = new TreeMap<>();

	private MeasurementRegistry() {
	}

	static MeasurementRegistry create() {
		return new MeasurementRegistry().add("placement", PlacementMeasurement::new)
			.add("control", ControlSpreadMeasurement::new)
			.add("control-spread-random", SpreadRandom::new);
	}

	Optional<Measurement> find(String name) {
		return Optional.ofNullable(this.measurements.get(name)).map(Supplier::get);
	}

	Set<String> names() {
		return this.measurements.keySet();
	}

	private MeasurementRegistry add(String name, Supplier<Measurement> measurement) {
		this.measurements.put(name, measurement);
		return this;
	}

}
