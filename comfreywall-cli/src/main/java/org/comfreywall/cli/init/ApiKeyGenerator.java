package org.comfreywall.cli.init;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.random.RandomGenerator;

import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.util.Bytes;

/**
 * Generates an API key for each client account without key hashes.
 */
final class ApiKeyGenerator {

	private static final int KEY_BYTES = 32;

	private static final String PREFIX = "cfw_";

	private final RandomGenerator random;

	private final List<ApiKey> generatedKeys = new ArrayList<>();

	/**
	 * Creates a generator.
	 * @param random the source of randomness; must be a
	 * {@link java.security.SecureRandom} unless the keys are only used in tests
	 */
	ApiKeyGenerator(RandomGenerator random) {
		this.random = random;
	}

	Answers addMissingKeys(Answers answers) {
		return answers.withAccounts(answers.configuration().accounts().stream().map(this::withKey).toList());
	}

	List<ApiKey> generatedKeys() {
		return List.copyOf(this.generatedKeys);
	}

	private AccountDescriptor withKey(AccountDescriptor account) {
		if (!account.keyHashes().isEmpty()) {
			return account;
		}
		ApiKey key = new ApiKey(account.id(), generateSecret());
		this.generatedKeys.add(key);
		return new AccountDescriptor(account.id(), List.of(Bytes.ofText(key.secret()).sha256()), account.limits(),
				account.highestClass(), account.services());
	}

	private String generateSecret() {
		byte[] bytes = new byte[KEY_BYTES];
		this.random.nextBytes(bytes);
		return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
	}

}
