package org.comfreywall.control.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.control.spread.EntryChange;
import org.comfreywall.control.spread.MemberReport;
import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.NodeRole;
import org.comfreywall.control.spread.Peer;
import org.comfreywall.control.spread.Presence;
import org.comfreywall.control.spread.ProbeResult;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Membership} and the {@link MemberView} that follows it.
 */
class MembershipTests {

	private static final MembershipSettings SETTINGS = MembershipSettings.DEFAULTS;

	private static final NodeDescriptor SELF = node("control-0", NodeRole.CONTROL, "d0", 1);

	private final Membership membership = new Membership(SELF, SETTINGS, new Random(1), DecisionListener.NONE);

	private final MemberView view = new MemberView();

	private long now;

	private int published;

	private int publishedChanges;

	private static NodeDescriptor node(String id, NodeRole role, String domain, long incarnation) {
		return new NodeDescriptor(InstanceId.of(id), Incarnation.of(incarnation), role, "region-1",
				FailureDomainId.of(domain), id + ":7000");
	}

	private static NodeDescriptor entry(int number, String domain) {
		return node("entry-" + number, NodeRole.ENTRY, domain, 1);
	}

	@BeforeEach
	void lead() {
		this.membership.lead(Map.of(), this.now);
	}

	private void report(Presence presence, NodeDescriptor... nodes) {
		List<MemberReport> reports = new ArrayList<>();
		for (NodeDescriptor node : nodes) {
			reports.add(new MemberReport(node, presence));
		}
		this.membership.onReports(reports, this.now);
		publish();
	}

	private List<ProbeOrder> pass(Duration duration) {
		this.now += duration.toNanos();
		this.membership.tick(this.now);
		publish();
		return this.membership.takeProbes();
	}

	private void publish() {
		List<EntryChange> changes = this.membership.takeChanges(this.now);
		this.published += changes.isEmpty() ? 0 : 1;
		this.publishedChanges += changes.size();
		this.view.apply(changes, false);
	}

	private void answer(List<ProbeOrder> orders, boolean reachable, int count) {
		orders.stream().limit(count).forEach((order) -> answer(order, reachable));
	}

	private void answer(ProbeOrder order, boolean reachable) {
		NodeDescriptor target = order.request().target();
		this.membership.onProbed(order.prober(),
				new ProbeResult(order.request().nonce(), target.id(), target.incarnation(), reachable), this.now);
	}

	private boolean isRoutable(NodeDescriptor node) {
		return this.view.isRoutable(node.id());
	}

	@Test
	void givesANewLeaderTimeToHearMembers() {
		NodeDescriptor node = entry(1, "d1");
		MemberRecord record = new MemberRecord(node, MemberState.ACTIVE, 7);
		EntryChange change = MemberEntries.set(record);
		this.membership.lead(Map.of(change.key(), change.value().orElseThrow()), this.now);
		assertThat(pass(SETTINGS.grace())).isEmpty();
		assertThat(pass(SETTINGS.takeoverGrace())).isNotEmpty().extracting(ProbeOrder::prober).contains(Peer.of(SELF));
	}

	@Nested
	class Suspicion {

		private final NodeDescriptor doubted = entry(1, "d1");

		private List<ProbeOrder> suspect() {
			report(Presence.PRESENT, this.doubted, entry(2, "d1"), entry(3, "d2"), entry(4, "d3"));
			pass(Duration.ofSeconds(1));
			report(Presence.ABSENT, this.doubted);
			return pass(SETTINGS.grace());
		}

		@Test
		void asksOthersBeforeJudging() {
			assertThat(suspect()).extracting(ProbeOrder::prober).doesNotHaveDuplicates().hasSize(3);
			assertThat(isRoutable(this.doubted)).isTrue();
		}

		@Test
		void doesNotJudgeOnOneOpinion() {
			answer(suspect(), false, 1);
			pass(Duration.ofSeconds(1));
			assertThat(isRoutable(this.doubted)).isTrue();
		}

		@Test
		void judgesOnTwoOpinions() {
			answer(suspect(), false, 2);
			pass(Duration.ofSeconds(1));
			assertThat(isRoutable(this.doubted)).isFalse();
		}

		@Test
		void countsTheSameOpinionOnce() {
			List<ProbeOrder> orders = suspect();
			answer(orders.get(0), false);
			answer(orders.get(0), false);
			pass(Duration.ofSeconds(1));
			assertThat(isRoutable(this.doubted)).isTrue();
		}

		@Test
		void sparesAMemberThatOnePeerReaches() {
			List<ProbeOrder> orders = suspect();
			answer(orders.get(0), true);
			answer(orders.get(1), false);
			answer(orders.get(2), false);
			pass(Duration.ofSeconds(1));
			assertThat(isRoutable(this.doubted)).isTrue();
		}

		@Test
		void takesBackAMemberThatIsHeardAgain() {
			answer(suspect(), false, 2);
			pass(Duration.ofSeconds(1));
			report(Presence.PRESENT, this.doubted);
			pass(Duration.ofSeconds(1));
			assertThat(isRoutable(this.doubted)).isTrue();
		}

	}

	@Nested
	class WholeFailureDomain {

		private NodeDescriptor[] fail() {
			NodeDescriptor[] domain = new NodeDescriptor[50];
			for (int i = 0; i < domain.length; i++) {
				domain[i] = entry(i, "d1");
			}
			report(Presence.PRESENT, domain);
			report(Presence.PRESENT, entry(100, "d2"), entry(101, "d3"));
			pass(Duration.ofSeconds(1));
			report(Presence.ABSENT, domain);
			MembershipTests.this.publishedChanges = 0;
			List<ProbeOrder> orders = pass(SETTINGS.grace());
			assertThat(orders).hasSize(9);
			answer(orders, false, 9);
			pass(Duration.ofSeconds(1));
			return domain;
		}

		@Test
		void failsInOneEvent() {
			NodeDescriptor[] domain = fail();
			assertThat(MembershipTests.this.publishedChanges).isEqualTo(1);
			assertThat(domain).noneMatch(MembershipTests.this::isRoutable);
		}

		@Test
		void returnsInFewPublications() {
			NodeDescriptor[] domain = fail();
			MembershipTests.this.published = 0;
			report(Presence.PRESENT, domain);
			pass(Duration.ofSeconds(1));
			assertThat(MembershipTests.this.published).isLessThanOrEqualTo(2);
			assertThat(domain).allMatch(MembershipTests.this::isRoutable);
		}

		@Test
		void leavesMembersOutThatHaveNotReturned() {
			NodeDescriptor[] domain = fail();
			report(Presence.PRESENT, domain[0]);
			pass(Duration.ofSeconds(1));
			assertThat(isRoutable(domain[0])).isTrue();
			assertThat(isRoutable(domain[1])).isFalse();
		}

	}

	@Nested
	class Leaving {

		private final NodeDescriptor node = entry(1, "d1");

		@Test
		void isPublishedAtOnce() {
			report(Presence.PRESENT, this.node);
			pass(Duration.ofSeconds(1));
			report(Presence.PRESENT, entry(2, "d1"));
			report(Presence.LEAVING, this.node);
			assertThat(isRoutable(this.node)).isFalse();
		}

		@Test
		void isNotUndoneByALateReport() {
			report(Presence.LEAVING, this.node);
			report(Presence.PRESENT, this.node);
			pass(Duration.ofSeconds(1));
			assertThat(isRoutable(this.node)).isFalse();
		}

		@Test
		void isNotUndoneByALeaderThatDoesNotKnow() {
			report(Presence.LEAVING, this.node);
			pass(Duration.ofSeconds(1));
			MemberRecord stale = new MemberRecord(this.node, MemberState.ACTIVE, 99);
			MembershipTests.this.view.apply(List.of(MemberEntries.set(stale)), true);
			assertThat(isRoutable(this.node)).isFalse();
		}

		@Test
		void endsWithTheNextLife() {
			report(Presence.LEAVING, this.node);
			report(Presence.PRESENT, node("entry-1", NodeRole.ENTRY, "d1", 2));
			pass(Duration.ofSeconds(1));
			assertThat(isRoutable(this.node)).isTrue();
		}

		@Test
		void endsInRemovalWhenTheMemberIsGone() {
			report(Presence.LEAVING, this.node);
			pass(Duration.ofSeconds(1));
			report(Presence.ABSENT, this.node);
			pass(SETTINGS.grace());
			pass(Duration.ofSeconds(1));
			assertThat(MembershipTests.this.view.find(this.node.id())).isEmpty();
		}

	}

	@Nested
	class Damping {

		@Test
		void holdsBackAMemberThatReturnsTooOften() {
			for (int life = 1; life <= 5; life++) {
				report(Presence.PRESENT, node("entry-1", NodeRole.ENTRY, "d1", life));
				pass(Duration.ofSeconds(1));
			}
			assertThat(MembershipTests.this.view.isRoutable(InstanceId.of("entry-1"))).isFalse();
			pass(SETTINGS.damping());
			pass(Duration.ofSeconds(1));
			assertThat(MembershipTests.this.view.isRoutable(InstanceId.of("entry-1"))).isTrue();
		}

		@Test
		void ignoresReportsOfAnEarlierLife() {
			report(Presence.PRESENT, node("entry-1", NodeRole.ENTRY, "d1", 2));
			report(Presence.LEAVING, node("entry-1", NodeRole.ENTRY, "d1", 1));
			pass(Duration.ofSeconds(1));
			assertThat(MembershipTests.this.view.isRoutable(InstanceId.of("entry-1"))).isTrue();
		}

	}

}
