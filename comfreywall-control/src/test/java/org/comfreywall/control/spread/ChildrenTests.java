package org.comfreywall.control.spread;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Children}.
 */
class ChildrenTests {

	private static final NodeDescriptor RELAY = Nodes.node("entry-1", NodeRole.ENTRY, "d1");

	private static final NodeDescriptor LEAF = Nodes.node("sidecar-1", NodeRole.SIDECAR, "d1");

	private final List<MemberReport> reports = new ArrayList<>();

	private final Children children = new Children(4, this.reports::add);

	private static ChildHeartbeat childHeartbeat(long base, long sequence, MemberReport... reports) {
		return new ChildHeartbeat(RELAY, false, false, false, StreamPosition.ZERO, StreamPosition.ZERO, 0,
				new RevisionCoverage(1, 0, 0, List.of()), 1, base, sequence, List.of(reports));
	}

	@Test
	void doesNotAcknowledgeReportsAfterAGap() {
		Child child = this.children.applyHeartbeat(childHeartbeat(7, 8, new MemberReport(LEAF, Presence.PRESENT)), 0);
		assertThat(child.receivedReportSequence()).isEqualTo(1);
	}

	@Test
	void ignoresOutdatedReports() {
		this.children.applyHeartbeat(childHeartbeat(1, 3, new MemberReport(LEAF, Presence.PRESENT)), 0);
		this.children.applyHeartbeat(childHeartbeat(1, 2, new MemberReport(LEAF, Presence.ABSENT)), 0);
		assertThat(this.reports).doesNotContain(new MemberReport(LEAF, Presence.ABSENT));
	}

	@Test
	void reportsAnExpiredChildAndItsDescendantsAsAbsent() {
		this.children.applyHeartbeat(childHeartbeat(1, 3, new MemberReport(LEAF, Presence.PRESENT)), 0);
		this.children.expire(1);
		assertThat(this.reports).contains(new MemberReport(LEAF, Presence.ABSENT),
				new MemberReport(RELAY, Presence.ABSENT));
	}

}
