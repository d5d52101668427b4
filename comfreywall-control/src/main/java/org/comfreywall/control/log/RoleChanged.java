package org.comfreywall.control.log;

import java.util.Optional;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * The instance's role, term or known leader has changed.
 *
 * @param role the role
 * @param term the term
 * @param leader the leader of the term, if known
 */
public record RoleChanged(Role role, Term term, Optional<InstanceId> leader) implements LogCommand {

	public RoleChanged {
		Preconditions.notNull(role, "role");
		Preconditions.notNull(term, "term");
		Preconditions.notNull(leader, "leader");
	}

}
