package org.comfreywall.bench.routing;

import java.util.random.RandomGenerator;

/**
 * Creates the policy of one entry instance.
 */
@FunctionalInterface
interface PolicyFactory {

	/**
	 * Creates a policy.
	 * @param entry the entry's index
	 * @param workers the number of workers
	 * @param random the source of randomness
	 * @return the policy
	 */
	EntryPolicy create(int entry, int workers, RandomGenerator random);

}
