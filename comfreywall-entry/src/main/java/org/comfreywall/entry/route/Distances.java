package org.comfreywall.entry.route;

import org.comfreywall.common.id.FailureDomainId;

/**
 * Network distances from this entry to the failure domains.
 */
@FunctionalInterface
public interface Distances {

	/**
	 * Returns the one-way network latency to a failure domain.
	 * @param domain the failure domain
	 * @return the latency in nanoseconds
	 */
	long oneWayNanos(FailureDomainId domain);

}
