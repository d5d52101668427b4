package org.comfreywall.common.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.toml.Problems;
import org.comfreywall.common.toml.TableDescriptor;
import org.comfreywall.common.toml.TomlTable;
import org.comfreywall.common.toml.ValueTypes;

/**
 * Validates rules that involve several settings.
 */
final class SettingsRules {

	private static final Map<Role, TableDescriptor> ROLE_TABLES = Map.of(Role.ENTRY, SettingsKeys.ENTRY, Role.SIDECAR,
			SettingsKeys.SIDECAR, Role.CONTROL, SettingsKeys.CONTROL);

	private final Problems problems;

	SettingsRules(Problems problems) {
		this.problems = problems;
	}

	void validate(TomlTable root) {
		List<Role> roles = root.value(SettingsKeys.ROLES);
		for (Role role : Role.values()) {
			checkTable(root, role, roles.contains(role));
		}
		checkListeners(root);
		root.table(SettingsKeys.CONTROL)
			.ifPresent((control) -> checkPeers(control.tables(SettingsKeys.PEER), root.value(SettingsKeys.NAME)));
	}

	private void checkTable(TomlTable root, Role role, boolean hasRole) {
		Optional<TomlTable> table = root.table(ROLE_TABLES.get(role));
		String name = ValueTypes.lowerCase(role);
		if (hasRole && table.isEmpty()) {
			this.problems.add(name, "(missing)", "a table [" + name + "], because roles names \"" + name + "\"");
		}
		if (!hasRole && table.isPresent()) {
			this.problems.add(name, "(not used)",
					"no table [" + name + "], or \"" + name + "\" added to roles if the instance holds that role");
		}
	}

	private void checkListeners(TomlTable root) {
		Set<HostPort> usedAddresses = new HashSet<>();
		checkListener("admin.listen",
				Optional.of(root.tableOrDefaults(SettingsKeys.ADMIN).value(SettingsKeys.ADMIN_LISTEN)), usedAddresses);
		checkListener("entry.listen",
				root.table(SettingsKeys.ENTRY).map((table) -> table.value(SettingsKeys.ENTRY_LISTEN)), usedAddresses);
		checkListener("sidecar.listen",
				root.table(SettingsKeys.SIDECAR).map((table) -> table.value(SettingsKeys.SIDECAR_LISTEN)),
				usedAddresses);
		checkListener("control.listen",
				root.table(SettingsKeys.CONTROL).map((table) -> table.value(SettingsKeys.CONTROL_LISTEN)),
				usedAddresses);
	}

	private void checkListener(String key, Optional<HostPort> listen, Set<HostPort> usedAddresses) {
		listen.filter((address) -> address.port() != 0 && !usedAddresses.add(address))
			.ifPresent((address) -> this.problems.add(key, "\"" + address + "\"",
					"an address that no other listener of the instance has"));
	}

	private void checkPeers(List<TomlTable> peers, String ownName) {
		if (peers.isEmpty() || peers.size() > SettingsKeys.MAX_CONTROL_INSTANCES) {
			this.problems.add("control.peer", "(" + peers.size() + " tables)",
					"1 to " + SettingsKeys.MAX_CONTROL_INSTANCES + " tables [[control.peer]]");
		}
		Set<String> names = new HashSet<>();
		Set<HostPort> addresses = new HashSet<>();
		peers.forEach((peer) -> checkPeer(peer, names, addresses));
		if (!names.contains(ownName)) {
			this.problems.add("control.peer", "(without this instance)",
					"a table [[control.peer]] with name = \"" + ownName + "\" among the others");
		}
	}

	private void checkPeer(TomlTable peer, Set<String> names, Set<HostPort> addresses) {
		String name = peer.value(SettingsKeys.PEER_NAME);
		if (!names.add(name)) {
			this.problems.add(peer.fullName(SettingsKeys.PEER_NAME), "\"" + name + "\"",
					"a name that no other peer has");
		}
		HostPort address = peer.value(SettingsKeys.PEER_ADDRESS);
		if (address.port() != 0 && !addresses.add(address)) {
			this.problems.add(peer.fullName(SettingsKeys.PEER_ADDRESS), "\"" + address + "\"",
					"an address that no other peer has");
		}
	}

}
