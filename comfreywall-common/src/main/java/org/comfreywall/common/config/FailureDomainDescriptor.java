package org.comfreywall.common.config;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.util.Preconditions;

/**
 * Configuration of a failure domain.
 *
 * @param id the failure domain
 * @param region the name of its region
 */
public record FailureDomainDescriptor(FailureDomainId id, String region) {

	public FailureDomainDescriptor {
		Preconditions.notNull(id, "id");
		Preconditions.notBlank(region, "region");
	}

}
