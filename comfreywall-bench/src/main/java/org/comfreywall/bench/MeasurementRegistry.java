package org.comfreywall.bench;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.comfreywall.bench.config.ConfigurationMeasurement;
import org.comfreywall.bench.control.ControlLogMeasurement;
import org.comfreywall.bench.control.ControlRandomMeasurement;
import org.comfreywall.bench.life.RandomisedLifecycleRun;
import org.comfreywall.bench.limits.LimitsMeasurement;
import org.comfreywall.bench.limits.RandomLimitsMeasurement;
import org.comfreywall.bench.mapswitch.RandomisedSwitchRun;
import org.comfreywall.bench.mapswitch.SwitchMeasurement;
import org.comfreywall.bench.overload.OverloadMeasurement;
import org.comfreywall.bench.path.PathMeasurement;
import org.comfreywall.bench.placement.MovesMeasurement;
import org.comfreywall.bench.placement.PlacementMeasurement;
import org.comfreywall.bench.request.RequestRun;
import org.comfreywall.bench.routing.DecideMeasurement;
import org.comfreywall.bench.routing.RandomRouterMeasurement;
import org.comfreywall.bench.routing.RoutingMeasurement;
import org.comfreywall.bench.routing.SubsetsMeasurement;
import org.comfreywall.bench.spread.ControlSpreadMeasurement;
import org.comfreywall.bench.spread.SpreadRandomMeasurement;

/**
 * Registry of the measurements by their names on the command line.
 */
final class MeasurementRegistry {

	private final Map<String, Supplier<Measurement>> measurements = new TreeMap<>();

	private MeasurementRegistry() {
	}

	static MeasurementRegistry create() {
		MeasurementRegistry registry = new MeasurementRegistry();
		registry.add("configuration", ConfigurationMeasurement::new);
		registry.add("control", ControlSpreadMeasurement::new);
		registry.add("control-log", ControlLogMeasurement::new);
		registry.add("control-random", ControlRandomMeasurement::new);
		registry.add("control-spread-random", SpreadRandomMeasurement::new);
		registry.add("decide", DecideMeasurement::new);
		registry.add("group-life-random", RandomisedLifecycleRun::new);
		registry.add("limits", LimitsMeasurement::new);
		registry.add("limits-random", RandomLimitsMeasurement::new);
		registry.add("mapswitch", SwitchMeasurement::new);
		registry.add("mapswitch-random", RandomisedSwitchRun::new);
		registry.add("moves", MovesMeasurement::new);
		registry.add("overload", OverloadMeasurement::new);
		registry.add("path", PathMeasurement::new);
		registry.add("placement", PlacementMeasurement::new);
		registry.add("request-random", RequestRun::new);
		registry.add("routing", RoutingMeasurement::new);
		registry.add("routing-random", RandomRouterMeasurement::new);
		registry.add("subsets", SubsetsMeasurement::new);
		return registry;
	}

	Optional<Measurement> find(String name) {
		return Optional.ofNullable(this.measurements.get(name)).map(Supplier::get);
	}

	Set<String> names() {
		return this.measurements.keySet();
	}

	private void add(String name, Supplier<Measurement> measurement) {
		this.measurements.put(name, measurement);
	}

}
