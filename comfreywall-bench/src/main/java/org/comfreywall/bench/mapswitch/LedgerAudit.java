package org.comfreywall.bench.mapswitch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.comfreywall.common.id.Term;
import org.comfreywall.group.mapswitch.AgentReport;
import org.comfreywall.group.mapswitch.CommitSwitch;
import org.comfreywall.group.mapswitch.LedgerState;
import org.comfreywall.group.mapswitch.LedgerWrite;
import org.comfreywall.group.mapswitch.Member;
import org.comfreywall.group.mapswitch.OpenTerm;
import org.comfreywall.group.mapswitch.SwitchArmed;
import org.comfreywall.group.mapswitch.SwitchId;

/**
 * Checks, independently of the ledger's own rules, that no write of an earlier term takes
 * effect after a later term was opened, and that a switch is committed only after all
 * current members have reported that they are armed.
 */
final class LedgerAudit {

	private final Consumer<String> onViolation;

	private final Map<SwitchId, Set<Member>> armedMembers = new HashMap<>();

	private Term latestTerm = Term.ZERO;

	LedgerAudit(Consumer<String> onViolation) {
		this.onViolation = onViolation;
	}

	void recordReport(AgentReport report) {
		if (report instanceof SwitchArmed switchArmed) {
			this.armedMembers.computeIfAbsent(switchArmed.id(), (id) -> new HashSet<>()).add(switchArmed.member());
		}
	}

	void recordWrite(LedgerWrite write, LedgerState before, LedgerState after) {
		if (write instanceof OpenTerm && this.latestTerm.isBefore(write.term())) {
			this.latestTerm = write.term();
		}
		if (before.index() == after.index()) {
			return;
		}
		if (write.term().isBefore(this.latestTerm)) {
			this.onViolation.accept("write of term " + write.term() + " took effect after term " + this.latestTerm);
		}
		if (write instanceof CommitSwitch commit) {
			checkArmed(commit.boundary().attemptId(), after);
		}
	}

	private void checkArmed(SwitchId id, LedgerState state) {
		Set<Member> members = this.armedMembers.getOrDefault(id, Set.of());
		if (!members.containsAll(state.members().values())) {
			this.onViolation.accept("switch " + id + " was committed with unarmed members");
		}
	}

}
