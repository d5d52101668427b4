package org.comfreywall.bench;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.comfreywall.bench.control.ControlLogMeasurement;
import org.comfreywall.bench.control.ControlRandomMeasurement;
import org.comfreywall.bench.limits.RandomLimitsMeasurement;
import org.comfreywall.bench.placement.MovesMeasurement;
import org.comfreywall.bench.placement.PlacementMeasurement;
import org.comfreywall.bench.request.RequestRun;
import org.comfreywall.bench.control.ControlRandomMeasurement;
import org.comfreywall.bench.limits.RandomLimitsMeasurement;
import org.comfreywall.bench.config.ConfigurationMeasurement;
import org.comfreywall.bench.mapswitch.RandomisedSwitchRun;
import org.comfreywall.bench.mapswitch.SwitchMeasurement;
import org.comfreywall.bench.placement.PlacementMeasurement;
import org.comfreywall.bench.routing.DecideMeasurement;
import org.comfreywall.bench.routing.RouterRandomMeasurement;
import org.comfreywall.bench.routing.RoutingMeasurement;
import org.comfreywall.bench.routing.SubsetsMeasurement;

/**
 * Knows the measurements by name.
 */
final class MeasurementRegistry {

	private final Map<String, Supplier<Measurement>> measurements = new TreeMap<>();

	private MeasurementRegistry() {
	}

	static MeasurementRegistry create() {
		return new MeasurementRegistry().add("placement", PlacementMeasurement::new)
			.add("control-log", ControlLogMeasurement::new)
			.add("control-random", ControlRandomMeasurement::new);
			.add("limits-random", RandomLimitsMeasurement::new);
			.add("request-random", RequestRun::new);
			.add("control-random", ControlRandomMeasurement::new);
			.add("limits-random", RandomLimitsMeasurement::new);
		return new MeasurementRegistry().add("configuration", ConfigurationMeasurement::new)
		return new MeasurementRegistry().add("routing", RoutingMeasurement::new)
			.add("decide", DecideMeasurement::new)
			.add("subsets", SubsetsMeasurement::new)
			.add("routing-random", RouterRandomMeasurement::new)
			.add("placement", PlacementMeasurement::new);
			.add("mapswitch", SwitchMeasurement::new)
			.add("mapswitch-random", RandomisedSwitchRun::new);
			.add("moves", MovesMeasurement::new);
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
