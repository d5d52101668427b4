package org.comfreywall.control.member;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.util.Preconditions;

/**
 * Tells all nodes that a whole failure domain has failed.
 *
 * @param domain the failure domain
 * @param stamp members of the domain with a smaller stamp have failed
 */
public record DomainFailure(FailureDomainId domain, long stamp) {

	public DomainFailure {
		Preconditions.notNull(domain, "domain");
		Preconditions.check(stamp >= 0, "stamp must not be negative: %d", stamp);
	}

}
