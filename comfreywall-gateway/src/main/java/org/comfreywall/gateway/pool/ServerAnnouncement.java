package org.comfreywall.gateway.pool;

import java.util.Optional;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * State that a backend server announced. Each start of a server is a new incarnation.
 *
 * @param server the server's identifier
 * @param service the service that it belongs to
 * @param address the address where it accepts requests
 * @param domain its failure domain
 * @param startedMillis the start of this incarnation, in milliseconds of the server's
 * clock; used only to order incarnations
 * @param sequence the number of the announcement, increasing within an incarnation
 * @param slots the number of requests that it runs concurrently
 * @param state the announced state
 * @param cold how long the server stays cold; empty if the announcement does not say
 */
public record ServerAnnouncement(String server, String service, HostPort address, String domain, long startedMillis,
		long sequence, int slots, ServerState state, Optional<ColdReport> cold) {

	public ServerAnnouncement {
		Preconditions.notBlank(server, "server");
		Preconditions.notNull(service, "service");
		Preconditions.notNull(address, "address");
		Preconditions.notNull(domain, "domain");
		Preconditions.check(slots >= 1, "slots must be at least 1: %d", slots);
		Preconditions.notNull(state, "state");
		Preconditions.notNull(cold, "cold");
	}

	/**
	 * Creates an announcement that does not say whether the server is cold.
	 * @param server the server's identifier
	 * @param service the service that it belongs to
	 * @param address the address where it accepts requests
	 * @param domain its failure domain
	 * @param startedMillis the start of this incarnation
	 * @param sequence the number of the announcement
	 * @param slots the number of requests that it runs concurrently
	 * @param state the announced state
	 */
	public ServerAnnouncement(String server, String service, HostPort address, String domain, long startedMillis,
			long sequence, int slots, ServerState state) {
		this(server, service, address, domain, startedMillis, sequence, slots, state, Optional.empty());
	}

	/**
	 * Returns whether this announcement replaces another one of the same server.
	 * @param other the other announcement
	 * @return {@code true} if it is from a later incarnation, or if it is later within
	 * the same incarnation and does not revert to an earlier {@link ServerState}
	 */
	public boolean replaces(ServerAnnouncement other) {
		if (this.startedMillis != other.startedMillis) {
			return this.startedMillis > other.startedMillis;
		}
		if (this.state != other.state) {
			return this.state.compareTo(other.state) > 0;
		}
		return this.sequence > other.sequence;
	}

	/**
	 * Returns an identifier of the server as a member of its service, for what must not
	 * concern a server of the same name in another service.
	 * @return the identifier
	 */
	public String serviceMember() {
		return this.server + "@" + this.service;
	}

	/**
	 * Returns a copy of this announcement with another state.
	 * @param changed the state
	 * @return the announcement
	 */
	public ServerAnnouncement withState(ServerState changed) {
		return new ServerAnnouncement(this.server, this.service, this.address, this.domain, this.startedMillis,
				this.sequence, this.slots, changed, this.cold);
	}

	/**
	 * Returns a copy of this announcement with other information on its warm-up.
	 * @param changed how long the server stays cold
	 * @return the announcement
	 */
	public ServerAnnouncement withCold(Optional<ColdReport> changed) {
		return new ServerAnnouncement(this.server, this.service, this.address, this.domain, this.startedMillis,
				this.sequence, this.slots, this.state, changed);
	}

	/**
	 * Returns a copy of this announcement as it is some time after its arrival.
	 * @param nanos the time since the fleet received it, in nanoseconds
	 * @return the announcement
	 */
	public ServerAnnouncement withAge(long nanos) {
		return withCold(this.cold.map((report) -> report.withAge(nanos)));
	}

}
