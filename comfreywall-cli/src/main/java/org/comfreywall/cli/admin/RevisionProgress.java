package org.comfreywall.cli.admin;

import java.util.List;

import io.vertx.core.json.JsonObject;

/**
 * Rollout progress of a configuration revision among the live members.
 *
 * @param revision the revision
 * @param members the number of live members
 * @param inForce the number of live members that have applied the revision
 * @param missing the names of live members that have not applied it; the daemon may
 * truncate the list
 */
public record RevisionProgress(long revision, long members, long inForce, List<String> missing) {

	public RevisionProgress {
		missing = List.copyOf(missing);
	}

	static RevisionProgress from(JsonObject body) {
		return new RevisionProgress(JsonValues.requiredLong(body, "revision"), JsonValues.requiredLong(body, "members"),
				JsonValues.requiredLong(body, "inForce"), JsonValues.strings(body, "missing"));
	}

	/**
	 * Returns whether every live member has applied the revision.
	 * @return {@code true} if there is a member and none is missing
	 */
	public boolean isComplete() {
		return this.members > 0 && this.inForce >= this.members && this.missing.isEmpty();
	}

}
