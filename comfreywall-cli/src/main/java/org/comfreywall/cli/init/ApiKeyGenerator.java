package org.comfreywall.cli.init;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.random.RandomGenerator;

import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.util.Bytes;

/**
 * Generates API keys for client accounts that have none.
 */
final class ApiKeyGenerator {

	private static final int KEY_BYTES = 32;

	private static final String PREFIX = "cfw_";

	private final RandomGenerator random;

	private final List<ApiKey> generated = new ArrayList<>();

	/**
	 * Creates a generator.
	 * @param random the source of keys; must be a {@link java.security.SecureRandom}
	 * wherever the keys are used
	 */
	ApiKeyGenerator(RandomGenerator random) {
		this.random = random;
	}

	Answers complete(Answers answers) {
		return answers.withAccounts(answers.configuration().accounts().stream().map(this::complete).toList());
	}

	List<ApiKey> generated() {
		return List.copyOf(this.generated);
	}

	private AccountDescriptor complete(AccountDescriptor account) {
		if (!account.keyHashes().isEmpty()) {
			return account;
		}
		ApiKey key = new ApiKey(account.id(), secret());
		this.generated.add(key);
		return new AccountDescriptor(account.id(), List.of(Bytes.ofText(key.secret()).sha256()), account.limits(),
				account.highestClass(), account.services());
	}

	private String secret() {
		byte[] bytes = new byte[KEY_BYTES];
		this.random.nextBytes(bytes);
		return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
	}

}
