package org.comfreywall.gateway.config;

import java.util.List;
import java.util.OptionalInt;

import org.comfreywall.common.util.Preconditions;

/**
 * A client account with its keys and priority.
 *
 * @param name the account's name
 * @param keys the keys that identify its requests
 * @param priority the priority of its requests under overload, 0 highest; if empty, that
 * of the route applies
 */
public record ClientAccount(String name, List<String> keys, OptionalInt priority) {

	public ClientAccount {
		Preconditions.notBlank(name, "name");
		keys = List.copyOf(keys);
		Preconditions.notNull(priority, "priority");
	}

}
