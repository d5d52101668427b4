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
 * Tests for {@link MembershipCore} and a {@link MemberView} that applies its changes.
 */
class MembershipCoreTests {

	private static final MembershipSettings SETTINGS = MembershipSettings.DEFAULTS;

	private static final NodeDescriptor SELF = node("control-0", NodeRole.CONTROL, "d0", 1);

	private final MembershipCore membership = new MembershipCore(SELF, SETTINGS, new Random(1), DecisionListener.NONE);

	private final MemberView view = new MemberView();

	private long now;

	private int publicationCount;

	private int publishedChangeCount;

	private static NodeDescriptor node(String id, NodeRole role, String domain, long incarnation) {
		return new NodeDescriptor(InstanceId.of(id), Incarnation.of(incarnation), role, "region-1",
				FailureDomainId.of(domain), id + ":7000");
	}

	private static NodeDescriptor entry(int number, String domain) {
		return node("entry-" + number, NodeRole.ENTRY, domain, 1);
	}

	@BeforeEach
	void startLeading() {
		this.membership.startLeading(Map.of(), this.now);
	}

	private void report(Presence presence, NodeDescriptor... nodes) {
		List<MemberReport> reports = new ArrayList<>();
		for (NodeDescriptor node : nodes) {
			reports.add(new MemberReport(node, presence));
		}
		this.membership.onReports(reports, this.now);
		publish();
	}

	private List<ProbeAssignment> advance(Duration duration) {
		this.now += duration.toNanos();
		this.membership.tick(this.now);
		publish();
		return this.membership.takeProbeAssignments();
	}

	private void publish() {
		List<EntryChange> changes = this.membership.takeChanges(this.now);
		this.publicationCount += changes.isEmpty() ? 0 : 1;
		this.publishedChangeCount += changes.size();
		this.view.apply(changes, false);
	}

	private void completeProbes(List<ProbeAssignment> probes, boolean reachable, int count) {
		probes.stream().limit(count).forEach((probe) -> completeProbe(probe, reachable));
	}

	private void completeProbe(ProbeAssignment probe, boolean reachable) {
		NodeDescriptor target = probe.request().target();
		this.membership.onProbeResult(probe.prober(),
				new ProbeResult(probe.request().nonce(), target.id(), target.incarnation(), reachable), this.now);
	}

	private boolean isRoutable(NodeDescriptor node) {
		return this.view.isRoutable(node.id());
	}

	@Test
	void waitsForReportsAfterLeaderChangeBeforeProbing() {
		NodeDescriptor node = entry(1, "d1");
		MemberRecord record = new MemberRecord(node, MemberState.ACTIVE, 7);
		EntryChange change = MemberEntries.toEntryChange(record);
		this.membership.startLeading(Map.of(change.key(), change.value().orElseThrow()), this.now);
		assertThat(advance(SETTINGS.suspicionTimeout())).isEmpty();
		assertThat(advance(SETTINGS.takeoverSuspicionTimeout())).isNotEmpty()
			.extracting(ProbeAssignment::prober)
			.contains(Peer.of(SELF));
	}

	@Nested
	class Suspicion {

		private final NodeDescriptor suspected = entry(1, "d1");

		private List<ProbeAssignment> removeReportsOfSuspected() {
			report(Presence.PRESENT, this.suspected, entry(2, "d1"), entry(3, "d2"), entry(4, "d3"));
			advance(Duration.ofSeconds(1));
			report(Presence.ABSENT, this.suspected);
			return advance(SETTINGS.suspicionTimeout());
		}

		@Test
		void probesFromSeveralNodesBeforeDeclaringFailure() {
			assertThat(removeReportsOfSuspected()).extracting(ProbeAssignment::prober)
				.doesNotHaveDuplicates()
				.hasSize(3);
			assertThat(isRoutable(this.suspected)).isTrue();
		}

		@Test
		void doesNotDeclareFailureAfterOneFailedProbe() {
			completeProbes(removeReportsOfSuspected(), false, 1);
			advance(Duration.ofSeconds(1));
			assertThat(isRoutable(this.suspected)).isTrue();
		}

		@Test
		void declaresFailureAfterTwoFailedProbes() {
			completeProbes(removeReportsOfSuspected(), false, 2);
			advance(Duration.ofSeconds(1));
			assertThat(isRoutable(this.suspected)).isFalse();
		}

		@Test
		void countsRepeatedResultsOfOneProberOnce() {
			List<ProbeAssignment> probes = removeReportsOfSuspected();
			completeProbe(probes.get(0), false);
			completeProbe(probes.get(0), false);
			advance(Duration.ofSeconds(1));
			assertThat(isRoutable(this.suspected)).isTrue();
		}

		@Test
		void endsSuspicionOfAMemberThatOneProberReaches() {
			List<ProbeAssignment> probes = removeReportsOfSuspected();
			completeProbe(probes.get(0), true);
			completeProbe(probes.get(1), false);
			completeProbe(probes.get(2), false);
			advance(Duration.ofSeconds(1));
			assertThat(isRoutable(this.suspected)).isTrue();
		}

		@Test
		void reactivatesAFailedMemberThatIsReportedAgain() {
			completeProbes(removeReportsOfSuspected(), false, 2);
			advance(Duration.ofSeconds(1));
			report(Presence.PRESENT, this.suspected);
			advance(Duration.ofSeconds(1));
			assertThat(isRoutable(this.suspected)).isTrue();
		}

	}

	@Nested
	class WholeFailureDomain {

		private NodeDescriptor[] failDomain() {
			NodeDescriptor[] domain = new NodeDescriptor[50];
			for (int i = 0; i < domain.length; i++) {
				domain[i] = entry(i, "d1");
			}
			report(Presence.PRESENT, domain);
			report(Presence.PRESENT, entry(100, "d2"), entry(101, "d3"));
			advance(Duration.ofSeconds(1));
			report(Presence.ABSENT, domain);
			MembershipCoreTests.this.publishedChangeCount = 0;
			List<ProbeAssignment> probes = advance(SETTINGS.suspicionTimeout());
			assertThat(probes).hasSize(9);
			completeProbes(probes, false, 9);
			advance(Duration.ofSeconds(1));
			return domain;
		}

		@Test
		void isPublishedAsOneChange() {
			NodeDescriptor[] domain = failDomain();
			assertThat(MembershipCoreTests.this.publishedChangeCount).isEqualTo(1);
			assertThat(domain).noneMatch(MembershipCoreTests.this::isRoutable);
		}

		@Test
		void returnsInFewPublications() {
			NodeDescriptor[] domain = failDomain();
			MembershipCoreTests.this.publicationCount = 0;
			report(Presence.PRESENT, domain);
			advance(Duration.ofSeconds(1));
			assertThat(MembershipCoreTests.this.publicationCount).isLessThanOrEqualTo(2);
			assertThat(domain).allMatch(MembershipCoreTests.this::isRoutable);
		}

		@Test
		void keepsMembersFailedThatHaveNotReturned() {
			NodeDescriptor[] domain = failDomain();
			report(Presence.PRESENT, domain[0]);
			advance(Duration.ofSeconds(1));
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
			advance(Duration.ofSeconds(1));
			report(Presence.PRESENT, entry(2, "d1"));
			report(Presence.LEAVING, this.node);
			assertThat(isRoutable(this.node)).isFalse();
		}

		@Test
		void isNotUndoneByALateReport() {
			report(Presence.LEAVING, this.node);
			report(Presence.PRESENT, this.node);
			advance(Duration.ofSeconds(1));
			assertThat(isRoutable(this.node)).isFalse();
		}

		@Test
		void isNotUndoneByALeaderThatMissedIt() {
			report(Presence.LEAVING, this.node);
			advance(Duration.ofSeconds(1));
			MemberRecord stale = new MemberRecord(this.node, MemberState.ACTIVE, 99);
			MembershipCoreTests.this.view.apply(List.of(MemberEntries.toEntryChange(stale)), true);
			assertThat(isRoutable(this.node)).isFalse();
		}

		@Test
		void endsWithTheNextIncarnation() {
			report(Presence.LEAVING, this.node);
			report(Presence.PRESENT, node("entry-1", NodeRole.ENTRY, "d1", 2));
			advance(Duration.ofSeconds(1));
			assertThat(isRoutable(this.node)).isTrue();
		}

		@Test
		void removesTheMemberOnceItIsNoLongerReported() {
			report(Presence.LEAVING, this.node);
			advance(Duration.ofSeconds(1));
			report(Presence.ABSENT, this.node);
			advance(SETTINGS.suspicionTimeout());
			advance(Duration.ofSeconds(1));
			assertThat(MembershipCoreTests.this.view.find(this.node.id())).isEmpty();
		}

	}

	@Nested
	class Damping {

		@Test
		void holdsBackAMemberThatReturnsTooOften() {
			for (int incarnation = 1; incarnation <= 5; incarnation++) {
				report(Presence.PRESENT, node("entry-1", NodeRole.ENTRY, "d1", incarnation));
				advance(Duration.ofSeconds(1));
			}
			assertThat(MembershipCoreTests.this.view.isRoutable(InstanceId.of("entry-1"))).isFalse();
			advance(SETTINGS.initialReturnDelay());
			advance(Duration.ofSeconds(1));
			assertThat(MembershipCoreTests.this.view.isRoutable(InstanceId.of("entry-1"))).isTrue();
		}

		@Test
		void ignoresReportsOfAnEarlierIncarnation() {
			report(Presence.PRESENT, node("entry-1", NodeRole.ENTRY, "d1", 2));
			report(Presence.LEAVING, node("entry-1", NodeRole.ENTRY, "d1", 1));
			advance(Duration.ofSeconds(1));
			assertThat(MembershipCoreTests.this.view.isRoutable(InstanceId.of("entry-1"))).isTrue();
		}

	}

}
