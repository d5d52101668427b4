package org.comfreywall.cli.admin;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.vertx.core.json.JsonObject;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AdminResponseConverter}.
 */
class AdminResponseConverterTests {

	private static final String DECISIONS = "{\"records\":[{\"kind\":\"ROUTE\",\"subject\":\"r1\",\"result\":\"chat-1\","
			+ "\"inputs\":[{\"key\":\"queue-ms\",\"value\":\"12\"}]}]}";

	private static final String ERROR = "{\"error\":{\"code\":\"FENCED\",\"step\":\"ORDER\",\"peer\":\"one\","
			+ "\"message\":\"old term\"}}";

	private final AdminResponseConverter responses = new AdminResponseConverter(
			new AdminTarget(URI.create("http://127.0.0.1:9901"), Optional.empty(), Optional.empty(), Optional.empty(),
					Duration.ofSeconds(1)));

	private Result<List<DecisionView>> decisions(int status, String body) {
		return this.responses.toBody(new AdminResponse(status, body))
			.flatMap((json) -> this.responses.decode(() -> DecisionView.listFrom(json)));
	}

	@Test
	void keepsCodeStepAndPeerOfTheDaemonsError() {
		OperationError error = decisions(400, ERROR).error().orElseThrow();
		assertThat(error.code()).isEqualTo(ErrorCode.FENCED);
		assertThat(error.step()).isEqualTo(Step.ORDER);
		assertThat(error.peer()).hasToString("Optional[one]");
	}

	@Test
	void reportsConflictWithoutRevisionAsError() {
		Result<SubmitResult> result = this.responses.toSubmitResult(new AdminResponse(409, "{\"error\":{}}"));
		assertThat(result.error().orElseThrow().code()).isEqualTo(ErrorCode.CONFLICT);
	}

	@Test
	void rejectsAcceptanceWithoutRevision() {
		Result<SubmitResult> result = this.responses.toSubmitResult(new AdminResponse(200, "{\"applied\":true}"));
		assertThat(result.error().orElseThrow().code()).isEqualTo(ErrorCode.MALFORMED);
	}

	@Property(seed = "1", tries = 2000)
	void corruptedResponsesGiveRecordsOrMalformed(@ForAll @IntRange(max = 120) int position, @ForAll char c) {
		Result<List<DecisionView>> result = decisions(200, withReplacedCharacter(DECISIONS, position, c));
		result.error().ifPresent((error) -> assertThat(error.code()).isEqualTo(ErrorCode.MALFORMED));
	}

	@Property(seed = "2", tries = 2000)
	void corruptedErrorResponsesStayErrors(@ForAll @IntRange(max = 80) int position, @ForAll char c) {
		assertThat(decisions(400, withReplacedCharacter(ERROR, position, c)).error()).isPresent();
		assertThat(this.responses.toSubmitResult(new AdminResponse(409, withReplacedCharacter(ERROR, position, c)))
			.error()).isPresent();
	}

	@Property(seed = "3", tries = 500)
	void anyBodyGivesEitherValueOrError(@ForAll String body, @ForAll @IntRange(min = 200, max = 599) int status) {
		Result<JsonObject> result = this.responses.toBody(new AdminResponse(status, body));
		assertThat(result.value().isPresent()).isNotEqualTo(result.error().isPresent());
	}

	private static String withReplacedCharacter(String body, int position, char c) {
		int at = Math.min(position, body.length() - 1);
		return body.substring(0, at) + c + body.substring(at + 1);
	}

}
