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
 * Checks that documents given together fit each other.
 */
final class FleetRules {

	private final Optional<Configuration> configuration;

	private final Set<PeerSettings> peers = new HashSet<>();

	private final Set<InstanceId> names = new HashSet<>();

	FleetRules(Optional<Configuration> configuration) {
		this.configuration = configuration;
	}

	List<Problem> check(List<CheckedDocument> documents) {
		documents.stream()
			.flatMap((document) -> document.settings().stream())
			.flatMap((settings) -> settings.control().stream())
			.findFirst()
			.ifPresent((control) -> this.peers.addAll(control.peers()));
		return documents.stream()
			.flatMap((document) -> document.settings().stream().flatMap((s) -> check(document.file(), s)))
			.toList();
	}

	private Stream<Problem> check(String file, InstanceSettings settings) {
		return Stream
			.of(name(file, settings), failureDomain(file, settings), service(file, settings), peers(file, settings),
					controlAddresses(file, settings))
			.flatMap(Optional::stream);
	}

	private Optional<Problem> name(String file, InstanceSettings settings) {
		return problem(this.names.add(settings.name()), file, "name", settings.name(),
				"a name that no other instance has");
	}

	private Optional<Problem> failureDomain(String file, InstanceSettings settings) {
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
					"a failure domain of the configuration");
		}
		String region = domain.get().region();
		return problem(region.equals(settings.region()), file, "region", settings.region(),
				"\"" + region + "\", the failure domain's region in the configuration");
	}

	private Optional<Problem> service(String file, InstanceSettings settings) {
		return settings.sidecar()
			.filter((sidecar) -> this.configuration.filter((c) -> c.service(sidecar.service()).isEmpty()).isPresent())
			.flatMap((sidecar) -> problem(false, file, "sidecar.service", sidecar.service(),
					"a service of the configuration"));
	}

	private Optional<Problem> peers(String file, InstanceSettings settings) {
		boolean same = settings.control()
			.map(ControlSettings::peers)
			.map(Set::copyOf)
			.map(this.peers::equals)
			.orElse(true);
		return problem(same, file, "control.peer", "(other peers)", "the same peers on every control instance");
	}

	private Optional<Problem> controlAddresses(String file, InstanceSettings settings) {
		Set<HostPort> known = this.peers.stream().map(PeerSettings::address).collect(Collectors.toSet());
		Stream<HostPort> used = Stream.concat(settings.entry().stream().flatMap((entry) -> entry.control().stream()),
				settings.sidecar().stream().flatMap((sidecar) -> sidecar.control().stream()));
		Optional<HostPort> unknown = used.filter((address) -> !known.contains(address)).findFirst();
		return unknown.filter((address) -> !known.isEmpty())
			.flatMap(
					(address) -> problem(false, file, "control", address, "addresses of the control instances' peers"));
	}

	private static Optional<Problem> problem(boolean holds, String file, String key, Object value, String allowed) {
		return holds ? Optional.empty() : Optional.of(new Problem(file, key, "\"" + value + "\"", allowed));
	}

}
