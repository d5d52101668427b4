package org.comfreywall.bench.config;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationRun}.
 */
class ConfigurationRunTests {

	private static final int STEPS = 300;

	@Test
	void writesReadsAndComparesRandomConfigurations() {
		ConfigurationRun run = new ConfigurationRun(1);
		for (int step = 0; step < STEPS; step++) {
			run.step();
		}
		assertThat(run.violations()).isZero();
	}

}
