package org.comfreywall.entry.route;

import org.comfreywall.common.id.FailureDomainId;

/**
 * Distances from this entry to the failure domains.
 */
@FunctionalInterface
public interface Distances {

	/**
	 * Returns the time that a message takes.
	 * @param domain the failure domain
	 * @return the time one way in nanoseconds
	 */
	long oneWayNanos(FailureDomainId domain);

}
