package org.comfreywall.daemon.sidecar;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.sidecar.attempt.EntryLink;
import org.comfreywall.transport.PeerConnection;
import org.comfreywall.transport.generated.Frame;

/**
 * Tracks the connections of entries and the outboxes of the answers sent to them.
 */
final class OutboxRegistry {

	private final Map<EntryLink, PeerConnection> connections = new HashMap<>();

	private final Map<PeerConnection, EntryLink> links = new HashMap<>();

	private final Map<RequestId, Map<EntryLink, Outbox>> outboxes = new HashMap<>();

	private long lastLink;

	EntryLink findOrCreateLink(PeerConnection connection) {
		return this.links.computeIfAbsent(connection, (unknown) -> {
			this.lastLink++;
			EntryLink link = new EntryLink(unknown.peer().orElseThrow().instance(), this.lastLink);
			this.connections.put(link, unknown);
			return link;
		});
	}

	Optional<EntryLink> remove(PeerConnection connection) {
		EntryLink link = this.links.remove(connection);
		if (link != null) {
			this.connections.remove(link);
			this.outboxes.values().forEach((byLink) -> byLink.remove(link));
			this.outboxes.values().removeIf(Map::isEmpty);
		}
		return Optional.ofNullable(link);
	}

	void open(RequestId request, EntryLink link, long credit) {
		PeerConnection connection = this.connections.get(link);
		if (connection != null) {
			this.outboxes.computeIfAbsent(request, (key) -> new HashMap<>()).put(link, new Outbox(connection, credit));
		}
	}

	boolean isOpen(RequestId request, EntryLink link) {
		return this.outboxes.getOrDefault(request, Map.of()).containsKey(link);
	}

	void addCredit(RequestId request, EntryLink link, long parts) {
		Outbox outbox = this.outboxes.getOrDefault(request, Map.of()).get(link);
		if (outbox != null) {
			outbox.addCredit(parts);
		}
	}

	void send(EntryLink link, Frame frame) {
		PeerConnection connection = this.connections.get(link);
		if (connection != null) {
			connection.send(frame);
		}
	}

	void sendInOrder(RequestId request, EntryLink link, Frame frame) {
		Outbox outbox = this.outboxes.getOrDefault(request, Map.of()).get(link);
		if (outbox != null) {
			outbox.add(frame);
		}
	}

	void sendAll(Frame frame) {
		this.connections.values().forEach((connection) -> connection.send(frame));
	}

	boolean areAllFull(RequestId request) {
		Map<EntryLink, Outbox> byLink = this.outboxes.getOrDefault(request, Map.of());
		return !byLink.isEmpty() && byLink.values().stream().allMatch(Outbox::isFull);
	}

	void closeIfEmpty(RequestId request) {
		Map<EntryLink, Outbox> byLink = this.outboxes.get(request);
		if (byLink != null && byLink.values().stream().allMatch(Outbox::isEmpty)) {
			this.outboxes.remove(request);
		}
	}

	boolean isEmpty() {
		return this.outboxes.values().stream().flatMap((byLink) -> byLink.values().stream()).allMatch(Outbox::isEmpty);
	}

}
