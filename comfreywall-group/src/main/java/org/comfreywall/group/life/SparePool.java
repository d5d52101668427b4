package org.comfreywall.group.life;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.group.mapswitch.Member;

/**
 * Members without a rank, in the order of their first announcement; at most
 * {@value #LIMIT}.
 */
final class SparePool {

	/** Maximum number of spares kept. */
	static final int LIMIT = 64;

	private final Map<BackendServerId, Spare> spares = new LinkedHashMap<>();

	void addOrRefresh(Member member, long now) {
		Spare present = this.spares.get(member.server());
		boolean older = present != null && member.incarnation().isBefore(present.incarnation());
		if (!older && (present != null || this.spares.size() < LIMIT)) {
			this.spares.put(member.server(), new Spare(member.incarnation(), now));
		}
	}

	void remove(Member member) {
		this.spares.remove(member.server());
	}

	void removeExpired(long before) {
		this.spares.values().removeIf((spare) -> spare.lastSeenAt() < before);
	}

	int size() {
		return this.spares.size();
	}

	Optional<Member> poll() {
		Optional<Member> first = this.spares.entrySet()
			.stream()
			.findFirst()
			.map((entry) -> new Member(entry.getKey(), entry.getValue().incarnation()));
		first.ifPresent(this::remove);
		return first;
	}

	private record Spare(Incarnation incarnation, long lastSeenAt) {

	}

}
