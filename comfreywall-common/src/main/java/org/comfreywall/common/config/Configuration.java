package org.comfreywall.common.config;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Preconditions;

/**
 * The configuration shared by all instances.
 *
 * @param failureDomains the failure domains
 * @param services the services
 * @param accounts the client accounts
 * @param groups the expert-parallel groups
 */
public record Configuration(List<FailureDomainDescriptor> failureDomains, List<ServiceDescriptor> services,
		List<AccountDescriptor> accounts, List<GroupDescriptor> groups) {

	/** A configuration without any elements. */
	public static final Configuration EMPTY = new Configuration(List.of(), List.of(), List.of(), List.of());

	public Configuration {
		Preconditions.notNull(failureDomains, "failureDomains");
		Preconditions.notNull(services, "services");
		Preconditions.notNull(accounts, "accounts");
		Preconditions.notNull(groups, "groups");
		failureDomains = List.copyOf(failureDomains);
		services = List.copyOf(services);
		accounts = List.copyOf(accounts);
		groups = List.copyOf(groups);
	}

	/**
	 * Finds a service by its identifier.
	 * @param id the service's identifier
	 * @return its descriptor, or empty if there is none
	 */
	public Optional<ServiceDescriptor> service(ServiceId id) {
		return this.services.stream().filter((service) -> service.id().equals(id)).findFirst();
	}

	/**
	 * Finds a client account by its identifier.
	 * @param id the client account's identifier
	 * @return its descriptor, or empty if there is none
	 */
	public Optional<AccountDescriptor> account(AccountId id) {
		return this.accounts.stream().filter((account) -> account.id().equals(id)).findFirst();
	}

}
