package org.comfreywall.common.settings;

import java.nio.file.Path;
import java.time.Duration;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SettingsReader}.
 */
class SettingsReaderTests {

	private static final String VALID = """
			name = "all-1"
			roles = ["entry", "sidecar", "control"]
			failure-domain = "north"
			region = "home"
			[entry]
			listen = "0.0.0.0:8080"
			control = ["10.0.0.1:7400"]
			body-timeout = "2s"
			max-headers = "64KB"
			[sidecar]
			listen = "10.0.0.1:7300"
			service = "chat"
			backend = "http://127.0.0.1:8000"
			engine-checks-fencing = true
			control = ["10.0.0.1:7400"]
			[control]
			listen = "[::1]:7400"
			data-folder = "/var/lib/comfreywall"
			[[control.peer]]
			name = "all-1"
			address = "10.0.0.1:7400"
			[tls]
			certificate = "cert.pem"
			key = "key.pem"
			trust = "trust.pem"
			""";

	private static Result<InstanceSettings> parse(String text) {
		return SettingsReader.parse("all-1.toml", text);
	}

	private static String errorOf(String text) {
		return parse(text).error().map(OperationError::message).orElse("(no error)");
	}

	@Test
	void readsEveryRole() {
		InstanceSettings settings = parse(VALID).value().orElseThrow();
		assertThat(settings.roles()).containsExactlyInAnyOrder(Role.values());
		assertThat(settings.entry().orElseThrow().bodyTimeout()).isEqualTo(Duration.ofSeconds(2));
		assertThat(settings.entry().orElseThrow().maxHeaderBytes()).isEqualTo(64 * 1024);
		assertThat(settings.sidecar().orElseThrow().engineChecksFencing()).isTrue();
		assertThat(settings.control().orElseThrow().listen()).hasToString("[::1]:7400");
		assertThat(settings.tls().orElseThrow().key()).isEqualTo(Path.of("key.pem"));
	}

	@Test
	void fillsInDefaults() {
		InstanceSettings settings = parse(VALID).value().orElseThrow();
		assertThat(settings.logLevel()).isEqualTo(LogLevel.INFO);
		assertThat(settings.admin().listen()).hasToString("127.0.0.1:9901");
		assertThat(settings.sidecar().orElseThrow().role()).isEqualTo(EngineRole.MIXED);
	}

	@Test
	void explainsHowToFixAMissingFile() {
		OperationError error = SettingsReader.read(Path.of("no-such-file.toml")).error().orElseThrow();
		assertThat(error.code()).isEqualTo(ErrorCode.NOT_FOUND);
		assertThat(error.message()).contains("no-such-file.toml", "check that the file exists");
	}

	@Property(seed = "1", tries = 1000)
	void anyTextYieldsSettingsOrAnError(@ForAll String text) {
		Result<InstanceSettings> result = parse(text);
		assertThat(result.error().map(OperationError::code)).contains(ErrorCode.INVALID_INPUT);
	}

	@Property(seed = "2", tries = 3000)
	void corruptedSettingsYieldSettingsOrAnError(@ForAll @IntRange(max = 600) int position, @ForAll char c,
			@ForAll @IntRange(max = 3) int removed) {
		int from = Math.min(position, VALID.length());
		int to = Math.min(from + removed, VALID.length());
		Result<InstanceSettings> result = parse(VALID.substring(0, from) + c + VALID.substring(to));
		assertThat(result.value().isPresent()).isNotEqualTo(result.error().isPresent());
	}

	@Nested
	class Refusals {

		@Test
		void containFileKeyValueAndAllowedValues() {
			assertThat(errorOf(VALID.replace("\"2s\"", "\"2 sec\"")))
				.isEqualTo("all-1.toml: entry.body-timeout = \"2 sec\"; allowed: \"100ms\" to \"1h\"");
		}

		@Test
		void suggestTheNearestKnownKey() {
			assertThat(errorOf(VALID.replace("body-timeout", "body-timout")))
				.isEqualTo("all-1.toml: entry.body-timout = (unknown key); allowed: did you mean \"body-timeout\"?");
		}

		@Test
		void listAllProblemsAtOnce() {
			String error = errorOf(VALID.replace("\"chat\"", "7").replace("8080", "80800"));
			assertThat(error.lines()).hasSize(2);
			assertThat(error).contains("entry.listen = \"0.0.0.0:80800\"", "sidecar.service = 7");
		}

		@Test
		void reportARoleWithoutItsTable() {
			String text = "name=\"a\"\nroles=[\"entry\"]\nfailure-domain=\"d\"\nregion=\"r\"";
			assertThat(errorOf(text)).contains("entry = (missing)", "a table [entry]");
		}

		@Test
		void reportATableWithoutItsRole() {
			assertThat(errorOf(VALID.replace("\"sidecar\", ", ""))).contains("sidecar = (not used)");
		}

		@Test
		void reportListenersWithTheSameAddress() {
			assertThat(errorOf(VALID.replace("10.0.0.1:7300", "0.0.0.0:8080"))).contains("sidecar.listen");
		}

		@Test
		void reportPeersWithoutThisInstance() {
			assertThat(errorOf(VALID.replace("[[control.peer]]\nname = \"all-1\"", "[[control.peer]]\nname = \"b\"")))
				.contains("control.peer = (without this instance)");
		}

		@Test
		void reportDocumentsNestedTooDeeply() {
			assertThat(parse("a = " + "[".repeat(200_000)).error()).isPresent();
			assertThat(parse("a = " + "{a=".repeat(200_000)).error()).isPresent();
			assertThat(parse("a" + ".a".repeat(200_000) + " = 1").error()).isPresent();
		}

		@Test
		void reportNumbersTooLargeToParse() {
			assertThat(parse("name = 1e999999999").error()).isPresent();
			assertThat(parse("name = " + "9".repeat(5000)).error()).isPresent();
		}

	}

}
