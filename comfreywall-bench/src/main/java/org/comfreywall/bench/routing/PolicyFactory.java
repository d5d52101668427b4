package org.comfreywall.bench.routing;

import java.util.random.RandomGenerator;

/**
 * Creates the policy of one entry instance.
 */
@FunctionalInterface
interface PolicyFactory {

	/**
	 * Creates a policy.
	 * @param entry the index of the entry instance
	 * @param servers the number of backend servers
	 * @param random the source of randomness
	 * @return the policy
	 */
	LoadBalancingPolicy create(int entry, int servers, RandomGenerator random);

}
