package org.comfreywall.daemon.member;

import java.util.List;

import org.comfreywall.transport.generated.MemberInfo;

/**
 * Receives the live members as reported by a control instance.
 */
@FunctionalInterface
public interface MemberListener {

	/**
	 * Called with each reply to a heartbeat.
	 * @param members the live members, sorted by instance
	 */
	void onMembers(List<MemberInfo> members);

}
