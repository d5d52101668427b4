package org.comfreywall.daemon.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.entry.request.RequestEvent;
import org.comfreywall.entry.request.SidecarLost;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.attempt.EntryFrames;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * The links to the sidecars of all known backend servers. Confined to the entry's worker
 * thread.
 */
final class SidecarDirectory implements AutoCloseable {

	private final Transport transport;

	private final SerialWorker worker;

	private final SidecarLinkListener listener;

	private final Consumer<RequestEvent> events;

	private final Map<BackendServerId, SidecarLink> links = new HashMap<>();

	private final Map<BackendServerId, CompletableFuture<Void>> pendingConnects = new HashMap<>();

	SidecarDirectory(Transport transport, SerialWorker worker, SidecarLinkListener listener,
			Consumer<RequestEvent> events) {
		this.transport = transport;
		this.worker = worker;
		this.listener = listener;
		this.events = events;
	}

	void connect(SidecarAddress sidecar, CompletableFuture<Void> reached) {
		this.pendingConnects.put(sidecar.server(), reached);
		SidecarLink link = new SidecarLink(sidecar, this.transport, this.worker, this.listener);
		SidecarLink replaced = this.links.put(sidecar.server(), link);
		if (replaced != null) {
			replaced.close();
		}
		link.open();
	}

	void completeConnect(BackendServerId server) {
		Optional.ofNullable(this.pendingConnects.remove(server)).ifPresent((reached) -> reached.complete(null));
	}

	void probe(BackendServerId server) {
		find(server).ifPresent(SidecarLink::probe);
	}

	void sendCredit(BackendServerId server, RequestId request, int parts) {
		find(server).ifPresent((link) -> link.currentIncarnation()
			.ifPresent((incarnation) -> link.send(incarnation, EntryFrames.credit(request, parts))));
	}

	Optional<AttemptTarget> target(BackendServerId server, Incarnation incarnation) {
		return find(server).flatMap(SidecarLink::target).filter((target) -> target.incarnation().equals(incarnation));
	}

	boolean send(BackendServerId server, Incarnation incarnation, Frame frame) {
		return find(server).filter((link) -> link.send(incarnation, frame)).isPresent();
	}

	/**
	 * Sends a frame to one incarnation of a sidecar. If the link is not assigned to that
	 * incarnation, the incarnation is reported lost; while it is merely disconnected, the
	 * frame is dropped.
	 * @param server the backend server
	 * @param incarnation the incarnation that the frame is for
	 * @param frame the frame
	 */
	void sendOrReportLost(BackendServerId server, Incarnation incarnation, Frame frame) {
		boolean sent = send(server, incarnation, frame);
		if (!sent && find(server).flatMap(SidecarLink::currentIncarnation).filter(incarnation::equals).isEmpty()) {
			this.events.accept(new SidecarLost(server, incarnation));
		}
	}

	@Override
	public void close() {
		this.links.values().forEach(SidecarLink::close);
	}

	private Optional<SidecarLink> find(BackendServerId server) {
		return Optional.ofNullable(this.links.get(server));
	}

}
