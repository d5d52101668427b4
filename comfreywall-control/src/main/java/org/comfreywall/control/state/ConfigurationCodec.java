package org.comfreywall.control.state;

import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.FailureDomainDescriptor;
import org.comfreywall.common.config.GroupDescriptor;
import org.comfreywall.common.config.PlacementWeights;
import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.config.ServiceDescriptor;
import org.comfreywall.common.config.ServiceKind;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.control.generated.AccountRecord;
import org.comfreywall.control.generated.ConfigurationRecord;
import org.comfreywall.control.generated.DeltaRecord;
import org.comfreywall.control.generated.FailureDomainRecord;
import org.comfreywall.control.generated.GroupRecord;
import org.comfreywall.control.generated.ServiceRecord;

/**
 * Converts configurations and their differences to and from Protobuf records. Malformed
 * records raise {@link IllegalArgumentException}.
 */
public final class ConfigurationCodec {

	private ConfigurationCodec() {
	}

	/**
	 * Converts a configuration.
	 * @param configuration the configuration
	 * @return its record
	 */
	public static ConfigurationRecord toRecord(Configuration configuration) {
		ConfigurationRecord.Builder builder = ConfigurationRecord.newBuilder();
		configuration.failureDomains().forEach((domain) -> builder.addFailureDomains(toRecord(domain)));
		configuration.services().forEach((service) -> builder.addServices(toRecord(service)));
		configuration.accounts().forEach((account) -> builder.addAccounts(toRecord(account)));
		configuration.groups().forEach((group) -> builder.addGroups(toRecord(group)));
		return builder.build();
	}

	/**
	 * Converts a configuration's record.
	 * @param configuration the record
	 * @return the configuration
	 * @throws IllegalArgumentException if the record is malformed
	 */
	public static Configuration fromRecord(ConfigurationRecord configuration) {
		return new Configuration(
				configuration.getFailureDomainsList().stream().map(ConfigurationCodec::fromRecord).toList(),
				configuration.getServicesList().stream().map(ConfigurationCodec::fromRecord).toList(),
				configuration.getAccountsList().stream().map(ConfigurationCodec::fromRecord).toList(),
				configuration.getGroupsList().stream().map(ConfigurationCodec::fromRecord).toList());
	}

	/**
	 * Converts a difference.
	 * @param delta the difference
	 * @return its record
	 */
	public static DeltaRecord toRecord(ConfigurationDelta delta) {
		return DeltaRecord.newBuilder()
			.setPut(toRecord(delta.put()))
			.addAllRemovedFailureDomains(delta.removedFailureDomains().stream().map(FailureDomainId::value).toList())
			.addAllRemovedServices(delta.removedServices().stream().map(ServiceId::value).toList())
			.addAllRemovedAccounts(delta.removedAccounts().stream().map(AccountId::value).toList())
			.addAllRemovedGroups(delta.removedGroups().stream().map(GroupId::value).toList())
			.build();
	}

	/**
	 * Converts a difference's record.
	 * @param delta the record
	 * @return the difference
	 * @throws IllegalArgumentException if the record is malformed
	 */
	public static ConfigurationDelta fromRecord(DeltaRecord delta) {
		return new ConfigurationDelta(fromRecord(delta.getPut()),
				delta.getRemovedFailureDomainsList().stream().map(FailureDomainId::of).toList(),
				delta.getRemovedServicesList().stream().map(ServiceId::of).toList(),
				delta.getRemovedAccountsList().stream().map(AccountId::of).toList(),
				delta.getRemovedGroupsList().stream().map(GroupId::of).toList());
	}

	private static FailureDomainRecord toRecord(FailureDomainDescriptor domain) {
		return FailureDomainRecord.newBuilder().setId(domain.id().value()).setRegion(domain.region()).build();
	}

	private static FailureDomainDescriptor fromRecord(FailureDomainRecord domain) {
		return new FailureDomainDescriptor(FailureDomainId.of(domain.getId()), domain.getRegion());
	}

	private static ServiceRecord toRecord(ServiceDescriptor service) {
		return ServiceRecord.newBuilder()
			.setId(service.id().value())
			.setKind(service.kind().name())
			.setPathPrefix(service.pathPrefix())
			.addAllIdempotentRequests(service.idempotentRequests())
			.setKeyRequired(service.keyRequired())
			.build();
	}

	private static ServiceDescriptor fromRecord(ServiceRecord service) {
		return new ServiceDescriptor(ServiceId.of(service.getId()), ServiceKind.valueOf(service.getKind()),
				service.getPathPrefix(), service.getIdempotentRequestsList(), service.getKeyRequired());
	}

	private static AccountRecord toRecord(AccountDescriptor account) {
		return AccountRecord.newBuilder()
			.setId(account.id().value())
			.addAllKeyHashes(account.keyHashes())
			.setRequestsPerSecond(account.limits().requestsPerSecond())
			.setTokensPerSecond(account.limits().tokensPerSecond())
			.setInFlight(account.limits().inFlight())
			.setHighestClass(account.highestClass().name())
			.addAllServices(account.services().stream().map(ServiceId::value).toList())
			.build();
	}

	private static AccountDescriptor fromRecord(AccountRecord account) {
		AccountLimits limits = new AccountLimits(account.getRequestsPerSecond(), account.getTokensPerSecond(),
				account.getInFlight());
		return new AccountDescriptor(AccountId.of(account.getId()), account.getKeyHashesList(), limits,
				PriorityClass.valueOf(account.getHighestClass()),
				account.getServicesList().stream().map(ServiceId::of).toList());
	}

	private static GroupRecord toRecord(GroupDescriptor group) {
		return GroupRecord.newBuilder()
			.setId(group.id().value())
			.setService(group.service().value())
			.setRanks(group.ranks())
			.setExperts(group.experts())
			.setLayers(group.layers())
			.setSlotsPerRank(group.slotsPerRank())
			.setSkewWeight(group.weights().skewWeight())
			.setMoveWeight(group.weights().moveWeight())
			.setEngineChecksFencing(group.engineChecksFencing())
			.build();
	}

	private static GroupDescriptor fromRecord(GroupRecord group) {
		return new GroupDescriptor(GroupId.of(group.getId()), ServiceId.of(group.getService()), group.getRanks(),
				group.getExperts(), group.getLayers(), group.getSlotsPerRank(),
				new PlacementWeights(group.getSkewWeight(), group.getMoveWeight()), group.getEngineChecksFencing());
	}

}
