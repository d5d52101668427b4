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

	List<AttemptCommand> drainCommands() {
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

	void sendEnd(EntryLink link, AttemptId attempt, AttemptEnd end, int crash) {
		add(new SendEnd(link, attempt, this.incarnation, end, crash));
	}

	void sendRefusal(EntryLink link, AttemptId attempt, Incarnation addressed, AttemptRefusal refusal, long window) {
		recordDecision(attempt, "refused", Field.of("reason", refusal), Field.of("entry", link.entry()));
		add(new SendRefusal(link, attempt, addressed, refusal, window));
	}

	void sendSealed(EntryLink link, AttemptId attempt) {
		recordDecision(attempt, "sealed", Field.of("entry", link.entry()));
		add(new SendSealed(link, attempt, this.incarnation));
	}

	/**
	 * Sends the stored parts of an accepted attempt's answer and subscribes the
	 * connection to the following ones.
	 * @param record the attempt, which must not be sealed
	 * @param link the connection
	 * @param from the sequence number of the first part to send
	 */
	void follow(AttemptRecord record, EntryLink link, long from) {
		if (record.state() == AttemptState.FAILED) {
			sendEnd(link, record.attempt(), record.end(), record.crash());
			return;
		}
		boolean canFollow = record.canReplayFrom(from) && (record.state().isEnded() || record.addLink(link));
		if (!canFollow) {
			sendEnd(link, record.attempt(), AttemptEnd.ANSWER_DROPPED, 0);
			return;
		}
		add(new SendStarted(link, record.attempt(), this.incarnation));
		List<AnswerPart> parts = record.parts();
		for (int i = (int) from; i < parts.size(); i++) {
			sendPart(link, record, i, parts.get(i));
		}
		record.markDelivered();
	}

	private void recordDecision(AttemptId attempt, String result, Field... inputs) {
		this.listener.onDecision(DecisionRecord.of(DecisionKind.REFUSE, attempt.request().toString(), result, inputs));
	}

}
