package org.comfreywall.control.member;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.util.Preconditions;

/**
 * The failure of a whole failure domain, published as a single entry of the membership
 * stream.
 *
 * @param domain the failure domain
 * @param sequence the sequence number of this publication; the members of the domain
 * whose records have smaller sequence numbers have failed
 */
public record DomainFailure(FailureDomainId domain, long sequence) {

	public DomainFailure {
		Preconditions.notNull(domain, "domain");
		Preconditions.check(sequence >= 0, "sequence must not be negative: %d", sequence);
	}

}
