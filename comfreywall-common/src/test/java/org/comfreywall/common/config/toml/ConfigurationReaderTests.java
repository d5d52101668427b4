package org.comfreywall.common.config.toml;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationReader}, {@link ConfigurationWriter} and
 * {@link ConfigurationDiff}.
 */
class ConfigurationReaderTests {

	private static final String HASH = "0123456789abcdef".repeat(4);

	private static final String VALID = """
			[[failure-domain]]
			name = "south"
			region = "home"

			[[failure-domain]]
			name = "north"
			region = "home"

			[[service]]
			name = "chat"
			kind = "model"
			path-prefix = "/v1/chat/completions"

			[[service]]
			name = "booking"
			kind = "plain"
			path-prefix = "/booking"
			idempotent-requests = ["GET /booking/schedule"]

			[[client-account]]
			name = "desk"
			key-hashes = ["%s"]
			requests-per-second = 50
			tokens-per-second = 20000
			in-flight = 100
			services = ["chat", "booking"]

			[[group]]
			name = "chat-1"
			service = "chat"
			ranks = 32
			experts = 128
			layers = 60
			slots-per-rank = 5
			skew-weight = 2.5
			move-weight = 1
			""".formatted(HASH);

	private static Result<Configuration> parse(String text) {
		return ConfigurationReader.parse("fleet.toml", text);
	}

	private static Configuration valid(String text) {
		return parse(text).value().orElseThrow();
	}

	private static String errorOf(String text) {
		return parse(text).error().map(OperationError::message).orElse("(no error)");
	}

	@Test
	void readsEverySection() {
		Configuration configuration = valid(VALID);
		assertThat(configuration.failureDomains()).hasSize(2);
		assertThat(configuration.services()).hasSize(2);
		assertThat(configuration.account(AccountId.of("desk")).orElseThrow().limits().inFlight()).isEqualTo(100);
		assertThat(configuration.groups().get(0).weights().skewWeight()).isEqualTo(2.5);
	}

	@Test
	void writesCanonicalTextWhateverTheOrder() {
		Configuration configuration = valid(VALID);
		List<AccountDescriptor> accounts = new ArrayList<>(configuration.accounts());
		Collections.reverse(accounts);
		Configuration reordered = new Configuration(
				List.of(configuration.failureDomains().get(1), configuration.failureDomains().get(0)),
				List.of(configuration.services().get(1), configuration.services().get(0)), accounts,
				configuration.groups());
		String text = ConfigurationWriter.write(configuration);
		assertThat(ConfigurationWriter.write(reordered)).isEqualTo(text);
		assertThat(ConfigurationWriter.write(valid(text))).isEqualTo(text);
	}

	@Property(seed = "1", tries = 3000)
	void corruptedConfigurationsYieldConfigurationOrError(@ForAll @IntRange(max = 900) int position, @ForAll char c,
			@ForAll @IntRange(max = 3) int removed) {
		int from = Math.min(position, VALID.length());
		int to = Math.min(from + removed, VALID.length());
		Result<Configuration> result = parse(VALID.substring(0, from) + c + VALID.substring(to));
		result.error().ifPresent((error) -> assertThat(error.code()).isEqualTo(ErrorCode.INVALID_INPUT));
		result.value()
			.ifPresent((value) -> assertThat(ConfigurationDiff.between(value, valid(ConfigurationWriter.write(value))))
				.isEmpty());
	}

	@Nested
	class Refusals {

		@Test
		void suggestAKnownServiceForAnUnknownOne() {
			assertThat(errorOf(VALID.replace("[\"chat\", \"booking\"]", "[\"chat\", \"bookin\"]")))
				.isEqualTo("fleet.toml: client-account[0].services = \"bookin\"; allowed: "
						+ "services of the configuration; did you mean \"booking\"?");
		}

		@Test
		void hideApiKeysWrittenInPlaceOfDigests() {
			assertThat(errorOf(VALID.replace(HASH, "cwk_secret"))).contains("client-account[0].key-hashes = (hidden)")
				.doesNotContain("cwk_secret");
		}

		@Test
		void reportRepeatedNames() {
			assertThat(errorOf(VALID.replace("\"south\"", "\"north\""))).contains("failure-domain[1].name");
		}

		@Test
		void reportApiKeysSharedByAccounts() {
			String account = VALID.substring(VALID.indexOf("[[client-account]]"), VALID.indexOf("[[group]]"));
			assertThat(errorOf(VALID + account.replace("desk", "office"))).contains("client-account[1].key-hashes");
		}

		@Test
		void reportAGroupOfAPlainService() {
			assertThat(errorOf(VALID.replace("service = \"chat\"", "service = \"booking\"")))
				.contains("group[0].service = \"booking\"", "kind \"model\"");
		}

		@Test
		void reportTooFewSlots() {
			assertThat(errorOf(VALID.replace("slots-per-rank = 5", "slots-per-rank = 3")))
				.contains("group[0].slots-per-rank = 3", "at least 4");
		}

		@Test
		void reportIdempotentRequestsOutsideThePathPrefix() {
			assertThat(errorOf(VALID.replace("GET /booking/schedule", "GET /schedule")))
				.contains("service[1].idempotent-requests");
		}

	}

	@Nested
	class Differences {

		@Test
		void listChangedValues() {
			List<ConfigurationChange> changes = ConfigurationDiff.between(valid(VALID),
					valid(VALID.replace("in-flight = 100", "in-flight = 200")));
			assertThat(changes).containsExactly(new ConfigurationChange(ChangeKind.CHANGED, "client-account", "desk",
					List.of(new FieldChange("in-flight", "100", "200"))));
		}

		@Test
		void listAddedAndRemovedElements() {
			List<ConfigurationChange> changes = ConfigurationDiff.between(valid(VALID),
					valid(VALID.replace("\"south\"", "\"west\"")));
			assertThat(changes).extracting(ConfigurationChange::kind)
				.containsExactly(ChangeKind.REMOVED, ChangeKind.ADDED);
		}

	}

}
