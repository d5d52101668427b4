package org.comfreywall.bench.spread;

import java.util.OptionalLong;
import java.util.Random;

import org.comfreywall.control.spread.NodeDescriptor;

/**
 * A simulated network with the delays within and between seven regions worldwide. Loses
 * no message.
 */
final class RegionalNetwork implements Network {

	private static final long NANOS_PER_MICRO = 1_000;

	private static final long WITHIN_DOMAIN_MICROS = 250;

	private static final long WITHIN_REGION_MICROS = 1_000;

	private static final long NEAREST_REGION_MICROS = 20_000;

	private static final long REGION_STEP_MICROS = 25_000;

	private final Random random;

	RegionalNetwork(long seed) {
		this.random = new Random(seed);
	}

	@Override
	public OptionalLong delay(NodeDescriptor from, NodeDescriptor to) {
		long base = baseMicros(from, to) * NANOS_PER_MICRO;
		return OptionalLong.of(base + (long) (this.random.nextDouble() * base / 5));
	}

	private static long baseMicros(NodeDescriptor from, NodeDescriptor to) {
		if (from.domain().equals(to.domain())) {
			return WITHIN_DOMAIN_MICROS;
		}
		if (from.region().equals(to.region())) {
			return WITHIN_REGION_MICROS;
		}
		int distance = Math.abs(from.region().hashCode() - to.region().hashCode()) % 6;
		return NEAREST_REGION_MICROS + distance * REGION_STEP_MICROS;
	}

}
