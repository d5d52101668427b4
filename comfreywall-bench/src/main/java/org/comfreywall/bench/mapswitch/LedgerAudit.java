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
 * Checks from outside the ledger that no write of an older term takes effect and that a
 * commit finds every present member armed.
 */
final class LedgerAudit {

	private final Consumer<String> onViolation;

	private final Map<SwitchId, Set<Member>> armed = new HashMap<>();

	private Term latest = Term.ZERO;

	LedgerAudit(Consumer<String> onViolation) {
		this.onViolation = onViolation;
	}

	void reported(AgentReport report) {
		if (report instanceof SwitchArmed sent) {
			this.armed.computeIfAbsent(sent.id(), (id) -> new HashSet<>()).add(sent.member());
		}
	}

	void written(LedgerWrite write, LedgerState before, LedgerState after) {
		if (write instanceof OpenTerm && this.latest.isBefore(write.term())) {
			this.latest = write.term();
		}
		if (before.index() == after.index()) {
			return;
		}
		if (write.term().isBefore(this.latest)) {
			this.onViolation.accept("write of term " + write.term() + " took effect after term " + this.latest);
		}
		if (write instanceof CommitSwitch commit) {
			checkArmed(commit.boundary().decidedBy(), after);
		}
	}

	private void checkArmed(SwitchId id, LedgerState state) {
		Set<Member> members = this.armed.getOrDefault(id, Set.of());
		if (!members.containsAll(state.members().values())) {
			this.onViolation.accept("switch " + id + " was committed with unarmed members");
		}
	}

}
