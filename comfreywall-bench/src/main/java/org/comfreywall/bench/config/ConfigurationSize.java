package org.comfreywall.bench.config;

/**
 * The size of a random configuration.
 *
 * @param failureDomains the number of failure domains
 * @param models the number of models, at least 1
 * @param accounts the number of client accounts
 * @param groups the number of groups
 */
record ConfigurationSize(int failureDomains, int models, int accounts, int groups) {

	static final ConfigurationSize SMALL = new ConfigurationSize(3, 2, 10, 2);

	static final ConfigurationSize LARGE = new ConfigurationSize(20, 24, 5_300, 1_094);

}
