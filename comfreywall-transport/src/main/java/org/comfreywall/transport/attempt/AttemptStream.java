package org.comfreywall.transport.attempt;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.transport.OperationException;
import org.comfreywall.transport.PeerConnection;
import org.comfreywall.transport.generated.Answer;
import org.comfreywall.transport.generated.AttemptRef;
import org.comfreywall.transport.generated.AttemptStart;
import org.comfreywall.transport.generated.Cancel;
import org.comfreywall.transport.generated.Credit;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.generated.Resume;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * The entry's end of one attempt's answer.
 * <p>
 * Passes on each message once and in order, whatever the order in which connections
 * deliver them.
 */
final class AttemptStream implements Subscription {

	private static final int MAX_CREDIT = 1 << 20;

	private final AttemptClient client;

	private final AttemptStart start;

	private final Subscriber<? super Answer> subscriber;

	private long nextSequence;

	private long credit;

	private boolean started;

	private boolean ended;

	AttemptStream(AttemptClient client, AttemptStart start, Subscriber<? super Answer> subscriber) {
		this.client = client;
		this.start = start;
		this.subscriber = subscriber;
	}

	AttemptRef attempt() {
		return this.start.getAttempt();
	}

	@Override
	public void request(long messages) {
		int more;
		long next;
		boolean first;
		synchronized (this) {
			if (this.ended) {
				return;
			}
			more = (int) Math.min(messages, MAX_CREDIT - this.credit);
			this.credit += more;
			first = !this.started;
			this.started = true;
			next = this.nextSequence;
		}
		if (!first) {
			sendCredit(more, next);
		}
		else if (!this.client.open(this)) {
			fail(this.client.lost("no connection to the sidecar"));
		}
	}

	@Override
	public void cancel() {
		synchronized (this) {
			if (this.ended) {
				return;
			}
			this.ended = true;
		}
		this.client.forget(this);
		this.client.send(Frame.newBuilder().setCancel(Cancel.newBuilder().setAttempt(attempt())).build());
	}

	synchronized void sendStart(PeerConnection connection) {
		connection.send(Frame.newBuilder().setStart(this.start.toBuilder().setCredit((int) this.credit)).build());
	}

	synchronized void sendResume(PeerConnection connection) {
		Resume resume = Resume.newBuilder()
			.setAttempt(attempt())
			.setNextSequence(this.nextSequence)
			.setCredit((int) this.credit)
			.build();
		connection.send(Frame.newBuilder().setResume(resume).build());
	}

	synchronized void deliver(Answer answer) {
		if (this.ended || answer.getSequence() != this.nextSequence) {
			return;
		}
		this.nextSequence++;
		this.credit--;
		this.subscriber.onNext(answer);
		if (answer.hasEnd()) {
			end();
			this.subscriber.onComplete();
		}
	}

	synchronized void fail(OperationError error) {
		if (!this.ended) {
			end();
			this.subscriber.onError(new OperationException(error));
		}
	}

	private void end() {
		this.ended = true;
		this.client.forget(this);
	}

	private void sendCredit(int messages, long next) {
		Credit more = Credit.newBuilder().setAttempt(attempt()).setMessages(messages).setNextSequence(next).build();
		this.client.send(Frame.newBuilder().setCredit(more).build());
	}

}
