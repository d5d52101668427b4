package org.comfreywall.cli.check;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.FailureDomainDescriptor;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.settings.ControlSettings;
import org.comfreywall.common.settings.InstanceSettings;
import org.comfreywall.common.settings.PeerSettings;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.toml.Problem;

/**
 * Validates cross-references between the settings of several instances and the fleet's
 * configuration.
 */
final class FleetRules {

	private final Optional<Configuration> configuration;

	private final Set<PeerSettings> expectedPeers = new HashSet<>();

	private final Set<InstanceId> seenNames = new HashSet<>();

	FleetRules(Optional<Configuration> configuration) {
		this.configuration = configuration;
	}

	List<Problem> validate(List<CheckedDocument> documents) {
		documents.stream()
			.flatMap((document) -> document.settings().stream())
			.flatMap((settings) -> settings.control().stream())
			.findFirst()
			.ifPresent((control) -> this.expectedPeers.addAll(control.peers()));
		return documents.stream()
			.flatMap((document) -> document.settings().stream().flatMap((s) -> validate(document.file(), s)))
			.toList();
	}

	private Stream<Problem> validate(String file, InstanceSettings settings) {
		return Stream
			.of(checkName(file, settings), checkFailureDomain(file, settings), checkService(file, settings),
					checkPeers(file, settings), checkControlAddresses(file, settings))
			.flatMap(Optional::stream);
	}

	private Optional<Problem> checkName(String file, InstanceSettings settings) {
		return problem(this.seenNames.add(settings.name()), file, "name", settings.name(),
				"a name that no other instance has");
	}

	private Optional<Problem> checkFailureDomain(String file, InstanceSettings settings) {
		if (this.configuration.isEmpty()) {
			return Optional.empty();
		}
		Optional<FailureDomainDescriptor> domain = this.configuration.get()
			.failureDomains()
			.stream()
			.filter((known) -> known.id().equals(settings.failureDomain()))
			.findFirst();
		if (domain.isEmpty()) {
			return problem(false, file, "failure-domain", settings.failureDomain(),
					"a failure domain in the configuration");
		}
		String region = domain.get().region();
		return problem(region.equals(settings.region()), file, "region", settings.region(),
				"\"" + region + "\", the failure domain's region in the configuration");
	}

	private Optional<Problem> checkService(String file, InstanceSettings settings) {
		return settings.sidecar()
			.filter((sidecar) -> this.configuration.filter((c) -> c.service(sidecar.service()).isEmpty()).isPresent())
			.flatMap((sidecar) -> problem(false, file, "sidecar.service", sidecar.service(),
					"a service in the configuration"));
	}

	private Optional<Problem> checkPeers(String file, InstanceSettings settings) {
		boolean same = settings.control()
			.map(ControlSettings::peers)
			.map(Set::copyOf)
			.map(this.expectedPeers::equals)
			.orElse(true);
		return problem(same, file, "control.peer", "(differs from the first control instance)",
				"the same peers on every control instance");
	}

	private Optional<Problem> checkControlAddresses(String file, InstanceSettings settings) {
		Set<HostPort> known = this.expectedPeers.stream().map(PeerSettings::address).collect(Collectors.toSet());
		Stream<HostPort> used = Stream.concat(settings.entry().stream().flatMap((entry) -> entry.control().stream()),
				settings.sidecar().stream().flatMap((sidecar) -> sidecar.control().stream()));
		Optional<HostPort> unknown = used.filter((address) -> !known.contains(address)).findFirst();
		return unknown.filter((address) -> !known.isEmpty())
			.flatMap((address) -> problem(false, file, "control", address, "addresses of the control.peer tables"));
	}

	private static Optional<Problem> problem(boolean valid, String file, String key, Object value, String allowed) {
		return valid ? Optional.empty() : Optional.of(new Problem(file, key, "\"" + value + "\"", allowed));
	}

}
