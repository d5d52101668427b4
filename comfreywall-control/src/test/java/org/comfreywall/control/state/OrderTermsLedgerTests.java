package org.comfreywall.control.state;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Bytes;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link OrderTermsLedger}.
 */
class OrderTermsLedgerTests {

	private final OrderTermsLedger ledger = new OrderTermsLedger();

	private Term issue(String holder, String request) {
		Bytes command = OrderTermCodec.encodeRequest("group-1", InstanceId.of(holder), request);
		return OrderTermCodec.decode(this.ledger.apply(LogTime.ZERO, command)).orElseThrow().term();
	}

	@Test
	void issuesHigherTermToNewHolder() {
		assertThat(issue("a", "1").isBefore(issue("b", "2"))).isTrue();
	}

	@Test
	void issuesSameTermForResend() {
		assertThat(issue("a", "1")).isEqualTo(issue("a", "1"));
	}

	@Test
	void keepsTermsInSnapshots() {
		Term term = issue("a", "1");
		OrderTermsLedger restored = new OrderTermsLedger();
		restored.restore(this.ledger.snapshot());
		assertThat(restored.findLatest("group-1")).map(OrderTerm::term).contains(term);
	}

	@Test
	void returnsEmptyAnswerForMalformedCommands() {
		assertThat(this.ledger.apply(LogTime.ZERO, Bytes.of(new byte[] { 1 }))).isEqualTo(Bytes.EMPTY);
	}

}
