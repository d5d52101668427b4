package org.comfreywall.gateway.poison;

import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

import org.comfreywall.common.util.Preconditions;

/**
 * What a request has in common with others, any of which may be why it crashes backend
 * servers.
 *
 * @param sharedParts the identifiers of its prompt's parts in order, without the last
 * one, which belongs to this request or its session alone
 * @param fingerprint computes the digest of path, client account and body, which repeats
 * of the request share
 * @param account returns the client account; empty if it is not known
 */
public record RequestTraits(List<String> sharedParts, Supplier<String> fingerprint, Supplier<String> account) {

	public RequestTraits {
		sharedParts = List.copyOf(Preconditions.notNull(sharedParts, "sharedParts"));
		Preconditions.notNull(fingerprint, "fingerprint");
		Preconditions.notNull(account, "account");
	}

	/**
	 * Parses the parts of a prompt.
	 * @param promptParts the parts as {@code ID:TOKENS}, separated by commas; may be
	 * empty
	 * @param fingerprint computes the digest of the request
	 * @param account returns the client account
	 * @return the traits
	 */
	public static RequestTraits parse(String promptParts, Supplier<String> fingerprint, Supplier<String> account) {
		List<String> parts = Arrays.stream(promptParts.split(","))
			.map((part) -> part.trim().replaceFirst(":.*", ""))
			.filter((part) -> !part.isEmpty())
			.toList();
		return new RequestTraits(parts.subList(0, Math.max(0, parts.size() - 1)), fingerprint, account);
	}

}
