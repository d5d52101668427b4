package org.comfreywall.common.config;

import java.util.List;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Configuration of a client account.
 *
 * @param id the client account
 * @param keyHashes SHA-256 digests of the account's API keys, in lower-case hexadecimal
 * @param limits the limits on the account's requests at all entry instances together
 * @param highestClass the highest priority class that the account may request
 * @param services the services that the account may call
 */
public record AccountDescriptor(AccountId id, List<String> keyHashes, AccountLimits limits, PriorityClass highestClass,
		List<ServiceId> services) {

	public AccountDescriptor {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(limits, "limits");
		Preconditions.notNull(highestClass, "highestClass");
		keyHashes = List.copyOf(keyHashes);
		services = List.copyOf(services);
	}

}
