package org.comfreywall.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.util.Bytes;

/**
 * Authenticates callers by API key.
 */
final class Authenticator {

	private static final String SCHEME = "Bearer ";

	private Authenticator() {
	}

	/**
	 * Returns the client account that an API key belongs to. Compares all key hashes,
	 * each in constant time, so that the duration does not reveal which key matches.
	 * @param configuration the configuration with the client accounts
	 * @param authorization the Authorization header, or {@code null}
	 * @return the client account, or empty if the key is missing or unknown
	 */
	static Optional<AccountDescriptor> authenticate(Configuration configuration, String authorization) {
		if (authorization == null || !authorization.startsWith(SCHEME)) {
			return Optional.empty();
		}
		byte[] digest = Bytes.ofText(authorization.substring(SCHEME.length()).trim())
			.sha256()
			.getBytes(StandardCharsets.US_ASCII);
		AccountDescriptor found = null;
		for (AccountDescriptor account : configuration.accounts()) {
			for (String hash : account.keyHashes()) {
				if (MessageDigest.isEqual(hash.getBytes(StandardCharsets.US_ASCII), digest)) {
					found = account;
				}
			}
		}
		return Optional.ofNullable(found);
	}

}
