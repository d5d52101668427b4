package org.comfreywall.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.FailureDomainDescriptor;
import org.comfreywall.common.config.GroupDescriptor;
import org.comfreywall.common.config.PlacementWeights;
import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.config.ServiceDescriptor;
import org.comfreywall.common.config.ServiceKind;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.ChangeId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.util.Bytes;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationLedger}.
 */
class ConfigurationLedgerTests {

	private static final ServiceDescriptor DRAFTING = service("drafting", "/v1/drafting");

	private static final ServiceDescriptor BOOKING = service("booking", "/booking");

	private final List<Revision> notified = new ArrayList<>();

	private final ConfigurationLedger ledger = new ConfigurationLedger(
			(change, configuration) -> this.notified.add(change.revision()));

	private static ServiceDescriptor service(String id, String path) {
		return new ServiceDescriptor(ServiceId.of(id), ServiceKind.PLAIN, path, List.of("GET /schedule"), true);
	}

	private static Configuration services(ServiceDescriptor... services) {
		return new Configuration(List.of(), List.of(services), List.of(), List.of());
	}

	private static ConfigurationChange change(String id, long expected, ChangeContent content) {
		return new ConfigurationChange(ChangeId.of(id), Revision.of(expected), "jana", "new yard", content);
	}

	private static ConfigurationChange put(String id, long expected, ServiceDescriptor... services) {
		return change(id, expected, ConfigurationDelta.put(services(services)));
	}

	private ChangeAnswer apply(ConfigurationChange change) {
		return this.ledger.apply(LogTime.of(5), change);
	}

	private static ChangeAnswer accepted(long revision) {
		return new ChangeAccepted(Revision.of(revision));
	}

	@Test
	void acceptsChangeThatExpectsCurrentRevision() {
		assertThat(apply(put("a", 0, DRAFTING))).isEqualTo(accepted(1));
		assertThat(this.ledger.configuration()).isEqualTo(services(DRAFTING));
		assertThat(this.notified).containsExactly(Revision.of(1));
	}

	@Test
	void reportsWinningChangeOnConflict() {
		apply(put("a", 0, DRAFTING));
		ChangeAnswer answer = apply(put("b", 0, BOOKING));
		assertThat(answer)
			.isEqualTo(new ChangeConflict(Revision.of(1), Optional.of(new ChangeWinner(ChangeId.of("a"), "jana"))));
		assertThat(this.ledger.configuration()).isEqualTo(services(DRAFTING));
	}

	@Test
	void returnsFirstAnswerToResendWithoutApplyingItAgain() {
		ConfigurationChange change = put("a", 0, DRAFTING);
		apply(change);
		apply(put("b", 1, BOOKING));
		assertThat(apply(change)).isEqualTo(accepted(1));
		assertThat(this.ledger.revision()).isEqualTo(Revision.of(2));
	}

	@Test
	void refusesChangeIdReusedForOtherContent() {
		apply(put("a", 0, DRAFTING));
		assertThat(apply(put("a", 1, BOOKING))).isInstanceOfSatisfying(ChangeRefused.class,
				(refused) -> assertThat(refused.code()).isEqualTo(ErrorCode.INVALID_INPUT));
	}

	@Test
	void refusesAccountThatCallsUnknownService() {
		AccountDescriptor account = new AccountDescriptor(AccountId.of("farm"), List.of(), new AccountLimits(1, 1, 1),
				PriorityClass.BATCH, List.of(ServiceId.of("nothing")));
		Configuration put = new Configuration(List.of(), List.of(), List.of(account), List.of());
		assertThat(apply(change("a", 0, ConfigurationDelta.put(put)))).isInstanceOf(ChangeRefused.class);
		assertThat(this.ledger.revision()).isEqualTo(Revision.ZERO);
	}

	@Test
	void dryRunChangesNothing() {
		assertThat(this.ledger.dryRun(put("a", 0, DRAFTING))).isEqualTo(accepted(1));
		assertThat(this.ledger.revision()).isEqualTo(Revision.ZERO);
		assertThat(apply(put("b", 0, BOOKING))).isEqualTo(accepted(1));
	}

	@Test
	void keepsAuthorReasonAndTimeInHistory() {
		apply(put("a", 0, DRAFTING));
		assertThat(this.ledger.historyAfter(Revision.ZERO)).singleElement().satisfies((change) -> {
			assertThat(change.author()).isEqualTo("jana");
			assertThat(change.reason()).isEqualTo("new yard");
			assertThat(change.time()).isEqualTo(LogTime.of(5));
		});
	}

	@Test
	void boundsHistoryAndAnswersAndDoesNotReapplyEvictedChange() {
		ConfigurationChange first = put("0", 0, DRAFTING);
		apply(first);
		for (int i = 1; i <= ConfigurationLedger.MAX_ANSWERS; i++) {
			apply(put("change-" + i, i, (i % 2 == 0) ? DRAFTING : BOOKING));
		}
		assertThat(this.ledger.historyAfter(Revision.ZERO)).hasSize(ConfigurationLedger.MAX_HISTORY);
		assertThat(apply(first))
			.isEqualTo(new ChangeConflict(Revision.of(ConfigurationLedger.MAX_ANSWERS + 1L), Optional.empty()));
	}

	@Test
	void answersMalformedCommandsAndQueries() {
		Bytes malformed = Bytes.of(new byte[] { 1, 2, 3 });
		ChangeAnswer answer = ChangeCodec.decodeAnswer(this.ledger.apply(LogTime.ZERO, malformed))
			.value()
			.orElseThrow();
		assertThat(answer).isInstanceOf(ChangeRefused.class);
		assertThat(this.ledger.query(malformed).length()).isPositive();
	}

	@Nested
	class Rollbacks {

		@Test
		void restoreAnEarlierRevisionAsANewOne() {
			apply(put("a", 0, DRAFTING));
			apply(put("b", 1, BOOKING));
			apply(change("c", 2, new ConfigurationDelta(Configuration.EMPTY, List.of(), List.of(DRAFTING.id()),
					List.of(), List.of())));
			assertThat(apply(change("d", 3, new Rollback(Revision.of(1))))).isEqualTo(accepted(4));
			assertThat(ConfigurationLedgerTests.this.ledger.configuration()).isEqualTo(services(DRAFTING));
		}

		@Test
		void canBeRolledBackThemselves() {
			apply(put("a", 0, DRAFTING));
			apply(change("b", 1, new Rollback(Revision.ZERO)));
			apply(change("c", 2, new Rollback(Revision.of(1))));
			assertThat(ConfigurationLedgerTests.this.ledger.configuration()).isEqualTo(services(DRAFTING));
		}

		@Test
		void toAnUnknownRevisionAreRefused() {
			assertThat(apply(change("a", 0, new Rollback(Revision.of(7))))).isInstanceOfSatisfying(ChangeRefused.class,
					(refused) -> assertThat(refused.code()).isEqualTo(ErrorCode.NOT_FOUND));
		}

	}

	@Nested
	class Snapshots {

		private final ConfigurationLedger restored = new ConfigurationLedger(ConfigurationListener.NONE);

		@Test
		void keepAnswersForResends() {
			ConfigurationChange change = put("a", 0, DRAFTING);
			apply(change);
			apply(put("b", 0, BOOKING));
			this.restored.restore(ConfigurationLedgerTests.this.ledger.snapshot());
			assertThat(this.restored.apply(LogTime.ZERO, change)).isEqualTo(accepted(1));
			assertThat(this.restored.apply(LogTime.ZERO, put("b", 0, BOOKING))).isInstanceOf(ChangeConflict.class);
		}

		@Test
		void keepEveryDescriptor() {
			Configuration all = new Configuration(
					List.of(new FailureDomainDescriptor(FailureDomainId.of("brno-sever"), "morava")), List.of(DRAFTING),
					List.of(new AccountDescriptor(AccountId.of("farm"), List.of("ab"), new AccountLimits(1, 2, 3),
							PriorityClass.STANDARD, List.of(DRAFTING.id()))),
					List.of(new GroupDescriptor(GroupId.of("g"), DRAFTING.id(), 2, 4, 3, 2,
							new PlacementWeights(0.5, 1.5), true)));
			apply(change("a", 0, ConfigurationDelta.put(all)));
			this.restored.restore(ConfigurationLedgerTests.this.ledger.snapshot());
			assertThat(this.restored.configuration()).isEqualTo(all);
			assertThat(this.restored.snapshot()).isEqualTo(ConfigurationLedgerTests.this.ledger.snapshot());
		}

	}

}
