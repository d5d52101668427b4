package org.comfreywall.bench.config;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

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
import org.comfreywall.common.util.Bytes;

/**
 * Generates valid random configurations of a given size.
 */
final class RandomConfigurations {

	private static final int REGIONS = 7;

	private static final int MAX_LIMIT = 100_000;

	private final RandomGenerator random;

	RandomConfigurations(RandomGenerator random) {
		this.random = random;
	}

	Configuration generate(ConfigurationSize size) {
		List<ServiceDescriptor> services = IntStream.range(0, size.models() + 1).mapToObj(this::service).toList();
		return new Configuration(IntStream.range(0, size.failureDomains()).mapToObj(this::failureDomain).toList(),
				services, IntStream.range(0, size.accounts()).mapToObj((i) -> account(i, services)).toList(),
				IntStream.range(0, size.groups()).mapToObj((i) -> group(i, services)).toList());
	}

	AccountDescriptor account(int number, List<ServiceDescriptor> services) {
		List<ServiceId> allowed = new ArrayList<>(services.stream().map(ServiceDescriptor::id).toList());
		allowed.removeIf((service) -> this.random.nextBoolean());
		if (allowed.isEmpty()) {
			allowed.add(services.get(0).id());
		}
		AccountLimits limits = new AccountLimits(randomLimit(), randomLimit(), randomLimit());
		return new AccountDescriptor(AccountId.of("account-" + number),
				List.of(Bytes.ofText("key " + number + " " + this.random.nextLong()).sha256()), limits,
				PriorityClass.values()[this.random.nextInt(PriorityClass.values().length)], allowed);
	}

	private long randomLimit() {
		return 1 + this.random.nextInt(MAX_LIMIT);
	}

	private FailureDomainDescriptor failureDomain(int number) {
		return new FailureDomainDescriptor(FailureDomainId.of("domain-" + number),
				"region-" + this.random.nextInt(REGIONS));
	}

	private ServiceDescriptor service(int number) {
		if (number == 0) {
			return new ServiceDescriptor(ServiceId.of("booking"), ServiceKind.PLAIN, "/booking",
					List.of("GET /booking/schedule", "GET /booking/b" + this.random.nextInt(9)), true);
		}
		return new ServiceDescriptor(ServiceId.of("model-" + number), ServiceKind.MODEL, "/v1/chat/completions",
				List.of("POST /v1/chat/completions"), this.random.nextBoolean());
	}

	private GroupDescriptor group(int number, List<ServiceDescriptor> services) {
		ServiceDescriptor model = services.get(1 + this.random.nextInt(services.size() - 1));
		PlacementWeights weights = new PlacementWeights(this.random.nextDouble() * 100, this.random.nextDouble());
		return new GroupDescriptor(GroupId.of("group-" + number), model.id(), 32, 128, 1 + this.random.nextInt(90),
				4 + this.random.nextInt(4), weights, this.random.nextBoolean());
	}

}
