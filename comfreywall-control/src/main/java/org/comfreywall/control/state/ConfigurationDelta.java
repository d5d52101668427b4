package org.comfreywall.control.state;

import java.util.List;

import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.FailureDomainDescriptor;
import org.comfreywall.common.config.GroupDescriptor;
import org.comfreywall.common.config.ServiceDescriptor;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Preconditions;

/**
 * The difference between two configurations.
 *
 * @param put descriptors that are added or replace those of the same identifier
 * @param removedFailureDomains failure domains that are removed
 * @param removedServices services that are removed
 * @param removedAccounts client accounts that are removed
 * @param removedGroups groups that are removed
 */
public record ConfigurationDelta(Configuration put, List<FailureDomainId> removedFailureDomains,
		List<ServiceId> removedServices, List<AccountId> removedAccounts,
		List<GroupId> removedGroups) implements ChangeContent {

	public ConfigurationDelta {
		Preconditions.notNull(put, "put");
		removedFailureDomains = List.copyOf(removedFailureDomains);
		removedServices = List.copyOf(removedServices);
		removedAccounts = List.copyOf(removedAccounts);
		removedGroups = List.copyOf(removedGroups);
	}

	/**
	 * Creates a difference that removes nothing.
	 * @param put the descriptors to add or replace
	 * @return the difference
	 */
	public static ConfigurationDelta put(Configuration put) {
		return new ConfigurationDelta(put, List.of(), List.of(), List.of(), List.of());
	}

	/**
	 * Computes the difference between two configurations.
	 * @param before the configuration before
	 * @param after the configuration after
	 * @return the difference that turns {@code before} into {@code after}
	 */
	public static ConfigurationDelta between(Configuration before, Configuration after) {
		Configuration put = new Configuration(
				DescriptorLists.addedOrChanged(before.failureDomains(), after.failureDomains()),
				DescriptorLists.addedOrChanged(before.services(), after.services()),
				DescriptorLists.addedOrChanged(before.accounts(), after.accounts()),
				DescriptorLists.addedOrChanged(before.groups(), after.groups()));
		return new ConfigurationDelta(put,
				DescriptorLists.removedIds(before.failureDomains(), after.failureDomains(),
						FailureDomainDescriptor::id),
				DescriptorLists.removedIds(before.services(), after.services(), ServiceDescriptor::id),
				DescriptorLists.removedIds(before.accounts(), after.accounts(), AccountDescriptor::id),
				DescriptorLists.removedIds(before.groups(), after.groups(), GroupDescriptor::id));
	}

	/**
	 * Applies the difference.
	 * @param before the configuration before
	 * @return the configuration after, each list ordered by identifier
	 */
	public Configuration applyTo(Configuration before) {
		return new Configuration(
				DescriptorLists.merge(before.failureDomains(), this.put.failureDomains(), this.removedFailureDomains,
						FailureDomainDescriptor::id),
				DescriptorLists.merge(before.services(), this.put.services(), this.removedServices,
						ServiceDescriptor::id),
				DescriptorLists.merge(before.accounts(), this.put.accounts(), this.removedAccounts,
						AccountDescriptor::id),
				DescriptorLists.merge(before.groups(), this.put.groups(), this.removedGroups, GroupDescriptor::id));
	}

}
