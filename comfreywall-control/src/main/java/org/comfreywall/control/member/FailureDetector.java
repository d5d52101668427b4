package org.comfreywall.control.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.Peer;
import org.comfreywall.control.spread.ProbeRequest;
import org.comfreywall.control.spread.ProbeResult;

/**
 * Detects failures of members that are no longer reported by having other nodes probe
 * them.
 * <p>
 * A member is declared failed after failed probes by at least
 * {@value #REQUIRED_FAILED_PROBERS} different nodes, or by the leader alone if no other
 * node could probe it. One successful probe ends the suspicion. If no member of a failure
 * domain is reported, only a sample of {@value #DOMAIN_SAMPLE_SIZE} members is probed,
 * and the domain is declared failed as a whole.
 */
final class FailureDetector {

	private static final int MAX_PROBES = 64;

	private static final int REQUIRED_FAILED_PROBERS = 2;

	private static final int DOMAIN_SAMPLE_SIZE = 3;

	private final Peer self;

	private final MembershipSettings settings;

	private final RandomGenerator random;

	private final ProberSelector selector;

	private final List<ProbeAssignment> assignments = new ArrayList<>();

	FailureDetector(NodeDescriptor self, MembershipSettings settings, RandomGenerator random) {
		this.self = Peer.of(self);
		this.settings = settings;
		this.random = random;
		this.selector = new ProberSelector(self.id(), random.nextLong());
	}

	void clear() {
		this.assignments.clear();
	}

	List<ProbeAssignment> takeProbeAssignments() {
		List<ProbeAssignment> taken = List.copyOf(this.assignments);
		this.assignments.clear();
		return taken;
	}

	void onProbeResult(Member member, Peer prober, ProbeResult result, long now) {
		if (!member.isCurrentProbe(result.nonce())) {
			return;
		}
		if (result.reachable()) {
			member.deferSuspicion(now + this.settings.reprobeInterval().toNanos());
		}
		else {
			member.failedProbers().add(prober.id());
		}
	}

	/**
	 * Evaluates the probe results of all suspected members, and requests probes of those
	 * that have not been confirmed as failed.
	 * @param members all members
	 * @param now the current monotonic time in nanoseconds
	 * @return the members and failure domains confirmed as failed
	 */
	DetectedFailures detectFailures(Collection<Member> members, long now) {
		Map<FailureDomainId, DomainSuspects> domains = groupSuspectsByDomain(members, now);
		DetectedFailures failures = new DetectedFailures(new ArrayList<>(), new ArrayList<>());
		long probing = members.stream().filter(Member::isProbing).count();
		int probeBudget = (int) Math.max(0, MAX_PROBES - probing);
		for (Map.Entry<FailureDomainId, DomainSuspects> entry : domains.entrySet()) {
			DomainSuspects suspects = entry.getValue();
			if (suspects.isWholeDomain()) {
				probeBudget -= detectDomain(entry.getKey(), suspects, members, failures, now);
			}
			else {
				probeBudget -= detectMembers(suspects.suspects(), members, failures, probeBudget, now);
			}
		}
		return failures;
	}

	private int detectDomain(FailureDomainId domain, DomainSuspects suspects, Collection<Member> members,
			DetectedFailures failures, long now) {
		List<Member> sample = suspects.suspects().subList(0, DOMAIN_SAMPLE_SIZE);
		if (sample.stream().allMatch((member) -> isConfirmedFailed(member, members))) {
			failures.failedDomains().add(new FailedDomain(domain, suspects.suspects()));
			return 0;
		}
		return probe(sample, members, DOMAIN_SAMPLE_SIZE, now);
	}

	private int detectMembers(List<Member> suspects, Collection<Member> members, DetectedFailures failures, int budget,
			long now) {
		List<Member> unconfirmed = new ArrayList<>();
		for (Member member : suspects) {
			if (isConfirmedFailed(member, members)) {
				failures.failed().add(member);
			}
			else {
				unconfirmed.add(member);
			}
		}
		return probe(unconfirmed, members, budget, now);
	}

	private int probe(List<Member> suspects, Collection<Member> members, int budget, long now) {
		int probed = 0;
		for (Member member : suspects) {
			boolean pending = member.isProbing()
					&& now - member.probeStartedAt() < this.settings.probeTimeout().toNanos();
			if (!pending && probed < budget) {
				probed++;
				requestProbes(member, members, now);
			}
		}
		return probed;
	}

	private void requestProbes(Member member, Collection<Member> members, long now) {
		long nonce = this.random.nextLong();
		member.startProbe(nonce, now);
		ProbeRequest request = new ProbeRequest(nonce, member.node());
		this.selector.select(member.node(), members, this.self)
			.forEach((prober) -> this.assignments.add(new ProbeAssignment(prober, request)));
	}

	private boolean isConfirmedFailed(Member member, Collection<Member> members) {
		if (!member.isProbing() || member.failedProbers().isEmpty()) {
			return false;
		}
		int possibleProbers = this.selector.possibleProberCount(member.node(), members);
		return member.failedProbers().size() >= Math.min(REQUIRED_FAILED_PROBERS, possibleProbers);
	}

	private static Map<FailureDomainId, DomainSuspects> groupSuspectsByDomain(Collection<Member> members, long now) {
		Map<FailureDomainId, DomainSuspects> domains = new HashMap<>();
		for (Member member : members) {
			if (member.isSuspected(now)) {
				domains.computeIfAbsent(member.node().domain(), (domain) -> new DomainSuspects(new ArrayList<>(), 0))
					.suspects()
					.add(member);
			}
		}
		if (!domains.isEmpty()) {
			members.stream()
				.filter((member) -> member.state() != MemberState.FAILED)
				.forEach((member) -> domains.computeIfPresent(member.node().domain(),
						(domain, suspects) -> suspects.withOneMoreNonFailed()));
		}
		return domains;
	}

	/**
	 * The suspected members of a failure domain.
	 *
	 * @param suspects the suspected members
	 * @param nonFailedMembers the number of members of the domain that have not failed
	 */
	private record DomainSuspects(List<Member> suspects, int nonFailedMembers) {

		DomainSuspects withOneMoreNonFailed() {
			return new DomainSuspects(this.suspects, this.nonFailedMembers + 1);
		}

		boolean isWholeDomain() {
			return this.suspects.size() == this.nonFailedMembers && this.nonFailedMembers >= DOMAIN_SAMPLE_SIZE;
		}

	}

	/**
	 * A failure domain that has failed as a whole.
	 *
	 * @param domain the failure domain
	 * @param members the members that had not failed individually before
	 */
	record FailedDomain(FailureDomainId domain, List<Member> members) {

		FailedDomain {
			Preconditions.notNull(domain, "domain");
			members = List.copyOf(members);
		}

	}

	/**
	 * Newly detected failures.
	 *
	 * @param failed the members that have failed individually
	 * @param failedDomains the failure domains that have failed as a whole
	 */
	record DetectedFailures(List<Member> failed, List<FailedDomain> failedDomains) {

	}

}
