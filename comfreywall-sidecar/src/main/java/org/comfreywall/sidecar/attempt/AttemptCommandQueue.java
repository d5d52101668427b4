package org.comfreywall.sidecar.attempt;

import java.util.ArrayList;
import java.util.List;

import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.attempt.AttemptEnd;
import org.comfreywall.common.attempt.AttemptRefusal;
import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.Incarnation;

/**
 * Collects the commands that result from one event, most of them replies to entries.
 */
final class AttemptCommandQueue {

	private final Incarnation incarnation;

	private final DecisionListener listener;

	private List<AttemptCommand> commands = new ArrayList<>();

	AttemptCommandQueue(Incarnation incarnation, DecisionListener listener) {
		this.incarnation = incarnation;
		this.listener = listener;
	}

	List<AttemptCommand> takeCommands() {
		List<AttemptCommand> result = this.commands;
		this.commands = new ArrayList<>();
		return result;
	}

	void add(AttemptCommand command) {
		this.commands.add(command);
	}

	void sendPart(EntryLink link, AttemptRecord record, long sequence, AnswerPart part) {
		add(new SendPart(link, record.attempt(), this.incarnation, sequence, part));
	}

	void sendEnd(EntryLink link, AttemptId attempt, AttemptEnd end, int crashNumber) {
		add(new SendEnd(link, attempt, this.incarnation, end, crashNumber));
	}

	void sendRefusal(EntryLink link, AttemptId attempt, Incarnation addressedIncarnation, AttemptRefusal refusal,
			long window) {
		recordDecision(attempt, "refused", Field.of("reason", refusal), Field.of("entry", link.entry()));
		add(new SendRefusal(link, attempt, addressedIncarnation, refusal, window));
	}

	void sendSealed(EntryLink link, AttemptId attempt) {
		// Later copies of a sealed attempt are refused, so a seal counts as a refusal.
		recordDecision(attempt, "sealed", Field.of("entry", link.entry()));
		add(new SendSealed(link, attempt, this.incarnation));
	}

	/**
	 * Sends the stored parts of an accepted attempt's answer and subscribes the
	 * connection to the following ones unless the attempt has ended. Sends only the end
	 * if the attempt has failed, or {@link AttemptEnd#ANSWER_DROPPED} if the requested
	 * parts are not available or the attempt has its maximum number of connections.
	 * @param record the attempt, which must not be sealed
	 * @param link the connection
	 * @param fromSequence the sequence number of the first part to send
	 */
	void replayAndSubscribe(AttemptRecord record, EntryLink link, long fromSequence) {
		if (record.state() == AttemptState.FAILED) {
			sendEnd(link, record.attempt(), record.end(), record.crash());
			return;
		}
		// Subscribes the connection unless the attempt has ended.
		boolean linkAccepted = record.canReplayFrom(fromSequence) && (record.state().isEnded() || record.addLink(link));
		if (!linkAccepted) {
			sendEnd(link, record.attempt(), AttemptEnd.ANSWER_DROPPED, 0);
			return;
		}
		add(new SendStarted(link, record.attempt(), this.incarnation));
		List<AnswerPart> parts = record.parts();
		// A stored part's index is its sequence number, as either all parts are stored or
		// none.
		for (int i = (int) fromSequence; i < parts.size(); i++) {
			sendPart(link, record, i, parts.get(i));
		}
		record.markDelivered();
	}

	private void recordDecision(AttemptId attempt, String result, Field... inputs) {
		this.listener.onDecision(DecisionRecord.of(DecisionKind.REFUSE, attempt.request().toString(), result, inputs));
	}

}
