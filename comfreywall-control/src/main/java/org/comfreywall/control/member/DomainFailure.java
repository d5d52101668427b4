package org.comfreywall.control.member;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.util.Preconditions;

/**
 * Marks a whole failure domain as failed with a single entry of the membership stream.
 *
 * @param domain the failure domain
 * @param stamp the stamp of the failure; members of the domain with a smaller stamp have
 * failed
 */
public record DomainFailure(FailureDomainId domain, long stamp) {

	public DomainFailure {
		Preconditions.notNull(domain, "domain");
		Preconditions.check(stamp >= 0, "stamp must not be negative: %d", stamp);
	}

}
