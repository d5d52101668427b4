package org.comfreywall.daemon.admin;

import io.vertx.core.json.JsonObject;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.control.state.Rollback;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ChangeRequest}.
 */
class ChangeRequestTests {

	private final JsonObject json = new JsonObject().put("changeId", "c1")
		.put("expectedRevision", 0)
		.put("author", "ana")
		.put("reason", "");

	@Test
	void acceptsChangeWithoutReason() {
		ChangeRequest request = ChangeRequest.parse(this.json.toBuffer()).value().orElseThrow();
		assertThat(request.change(new Rollback(Revision.of(1))).value()).isPresent();
	}

	@Test
	void refusesChangeWithoutAuthorAsInvalid() {
		ChangeRequest request = ChangeRequest.parse(this.json.put("author", " ").toBuffer()).value().orElseThrow();
		assertThat(request.change(new Rollback(Revision.of(1))).error().map(OperationError::code))
			.contains(ErrorCode.INVALID_INPUT);
	}

	@Test
	void refusesMalformedBody() {
		assertThat(ChangeRequest.parse(new JsonObject().put("changeId", 7).toBuffer()).error()).isPresent();
	}

}
