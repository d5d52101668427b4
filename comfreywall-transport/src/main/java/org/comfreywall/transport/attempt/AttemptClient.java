package org.comfreywall.transport.attempt;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.OperationException;
import org.comfreywall.transport.PeerAddress;
import org.comfreywall.transport.PeerConnection;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.PeerLink;
import org.comfreywall.transport.PeerLinkListener;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.generated.Answer;
import org.comfreywall.transport.generated.AttemptRef;
import org.comfreywall.transport.generated.AttemptStart;
import org.comfreywall.transport.generated.Cancel;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.generated.Seal;
import org.comfreywall.transport.generated.SealResult;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * Sends attempts to one sidecar and streams their answers back.
 * <p>
 * Demand of the subscriber travels to the sidecar as credit. When the connection is lost
 * or goes silent, streams resume on a new connection at the first message not yet
 * delivered; when the sidecar has a new incarnation or stays unreachable for the resume
 * time, they end with an error.
 */
public final class AttemptClient implements AutoCloseable {

	private final Map<AttemptRef, AttemptStream> streams = new ConcurrentHashMap<>();

	private final Map<AttemptRef, SealWaiter> seals = new ConcurrentHashMap<>();

	private final SerialWorker worker;

	private final Duration resumeTime;

	private final PeerLink link;

	private final CompletableFuture<Void> connected = new CompletableFuture<>();

	private volatile boolean up;

	private volatile long downSince;

	/**
	 * Creates a client and starts connecting.
	 * @param transport opens connections
	 * @param address the sidecar's address
	 * @param worker runs timeouts
	 * @param resumeTime how long streams wait for a new connection
	 */
	public AttemptClient(Transport transport, PeerAddress address, SerialWorker worker, Duration resumeTime) {
		this.worker = Preconditions.notNull(worker, "worker");
		this.resumeTime = Preconditions.notNull(resumeTime, "resumeTime");
		this.downSince = System.nanoTime();
		this.link = new PeerLink(transport, address, new LinkEvents());
		this.link.open();
	}

	/**
	 * Returns the sidecar's identity.
	 * @return the identity, or empty while there is no connection
	 */
	public Optional<PeerIdentity> peer() {
		return this.link.current().flatMap(PeerConnection::peer);
	}

	/**
	 * Tells when the sidecar has been reached for the first time.
	 * @return completes with the first connection
	 */
	public CompletableFuture<Void> connected() {
		return this.connected;
	}

	/**
	 * Creates the stream of an attempt's answer; the attempt is sent on subscription.
	 * @param start the attempt; its credit is set from the subscriber's demand
	 * @return the answer's messages in order; fails with an {@link OperationException}
	 */
	public Flowable<Answer> start(AttemptStart start) {
		Preconditions.notNull(start, "start");
		return Flowable.fromPublisher((subscriber) -> {
			AttemptStream stream = new AttemptStream(this, start, subscriber);
			subscriber.onSubscribe(stream);
		});
	}

	/**
	 * Asks the sidecar to stop an attempt; its stream ends with the sidecar's answer.
	 * @param attempt the attempt
	 */
	public void cancel(AttemptRef attempt) {
		Frame frame = Frame.newBuilder().setCancel(Cancel.newBuilder().setAttempt(attempt)).build();
		this.link.current().ifPresent((connection) -> connection.send(frame));
	}

	/**
	 * Asks the sidecar to refuse an attempt for ever unless it has started.
	 * @param attempt the attempt
	 * @param timeout how long to wait for the sidecar's word
	 * @return whether the attempt is proven not to have run; fails with an
	 * {@link OperationException} if the sidecar does not answer in time
	 */
	public Single<SealResult> seal(AttemptRef attempt, Duration timeout) {
		return Single.create((emitter) -> {
			SealWaiter waiter = new SealWaiter(emitter);
			this.seals.put(attempt, waiter);
			sendSeal(attempt);
			this.worker.after(timeout, () -> {
				this.seals.remove(attempt, waiter);
				waiter.fail(lost("no answer to a seal within " + timeout.toMillis() + " ms"));
			});
		});
	}

	@Override
	public void close() {
		this.link.close();
		failAll(lost("the connection was closed by this instance"));
	}

	boolean open(AttemptStream stream) {
		this.streams.put(stream.attempt(), stream);
		Optional<PeerConnection> connection = this.link.current();
		if (connection.isEmpty()) {
			this.streams.remove(stream.attempt());
			return false;
		}
		stream.sendStart(connection.get());
		return true;
	}

	void send(Frame frame) {
		this.link.current().ifPresent((connection) -> connection.send(frame));
	}

	void forget(AttemptStream stream) {
		this.streams.remove(stream.attempt(), stream);
	}

	OperationError lost(String message) {
		return OperationError.local(ErrorCode.CONNECTION_LOST, Step.SEND, this.link.address() + ": " + message);
	}

	private void sendSeal(AttemptRef attempt) {
		send(Frame.newBuilder().setSeal(Seal.newBuilder().setAttempt(attempt)).build());
	}

	private void failAll(OperationError error) {
		List<AttemptStream> all = List.copyOf(this.streams.values());
		all.forEach((stream) -> stream.fail(error));
	}

	private void failIfStillDown() {
		long down = System.nanoTime() - this.downSince;
		if (!this.up && down >= this.resumeTime.toNanos()) {
			failAll(lost("no connection for " + Duration.ofNanos(down).toMillis() + " ms"));
		}
	}

	private final class LinkEvents implements PeerLinkListener {

		@Override
		public void onUp(PeerConnection connection) {
			AttemptClient.this.up = true;
			Incarnation incarnation = connection.peer().orElseThrow().incarnation();
			for (AttemptStream stream : List.copyOf(AttemptClient.this.streams.values())) {
				if (stream.attempt().getSidecarIncarnation() == incarnation.value()) {
					stream.sendResume(connection);
				}
				else {
					stream.fail(lost("the sidecar restarted while the attempt may have been running"));
				}
			}
			AttemptClient.this.connected.complete(null);
			AttemptClient.this.seals.keySet().forEach(AttemptClient.this::sendSeal);
		}

		@Override
		public void onFrame(PeerConnection connection, Frame frame) {
			switch (frame.getBodyCase()) {
				case ANSWER -> deliver(frame.getAnswer());
				case SEAL_RESULT -> sealed(frame.getSealResult());
				default -> connection.close();
			}
		}

		@Override
		public void onDown(OperationError reason) {
			if (AttemptClient.this.up) {
				AttemptClient.this.up = false;
				AttemptClient.this.downSince = System.nanoTime();
			}
			AttemptClient.this.worker.after(AttemptClient.this.resumeTime, AttemptClient.this::failIfStillDown);
		}

		private void deliver(Answer answer) {
			AttemptStream stream = AttemptClient.this.streams.get(answer.getAttempt());
			if (stream != null) {
				stream.deliver(answer);
			}
		}

		private void sealed(SealResult result) {
			SealWaiter waiter = AttemptClient.this.seals.remove(result.getAttempt());
			if (waiter != null) {
				waiter.complete(result);
			}
		}

	}

}
