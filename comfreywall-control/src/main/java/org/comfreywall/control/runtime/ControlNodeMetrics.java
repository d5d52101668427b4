package org.comfreywall.control.runtime;

import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.comfreywall.control.log.ReplicaStatus;

/**
 * Metrics of a control node.
 */
final class ControlNodeMetrics {

	private static final String PREFIX = "control.log.";

	private final Timer sync;

	private final Timer commit;

	private final Timer snapshot;

	private final Histogram batchEntries;

	private final Meter proposals;

	private final Counter overflows;

	ControlNodeMetrics(MetricRegistry registry, Supplier<ReplicaStatus> status) {
		this.sync = registry.timer(PREFIX + "sync");
		this.commit = registry.timer(PREFIX + "commit");
		this.snapshot = registry.timer(PREFIX + "snapshot");
		this.batchEntries = registry.histogram(PREFIX + "group-entries");
		this.proposals = registry.meter(PREFIX + "proposals");
		this.overflows = registry.counter(PREFIX + "ring-overflows");
		gauge(registry, "term", () -> status.get().term().value());
		gauge(registry, "commit-index", () -> status.get().commitIndex());
		gauge(registry, "entries-in-memory", () -> (long) status.get().logEntries());
		gauge(registry, "role", () -> status.get().role().name());
	}

	private static void gauge(MetricRegistry registry, String name, Gauge<?> gauge) {
		registry.gauge(PREFIX + name, () -> gauge);
	}

	Timer sync() {
		return this.sync;
	}

	Timer commit() {
		return this.commit;
	}

	Timer snapshot() {
		return this.snapshot;
	}

	Histogram batchEntries() {
		return this.batchEntries;
	}

	Meter proposals() {
		return this.proposals;
	}

	Counter overflows() {
		return this.overflows;
	}

}
