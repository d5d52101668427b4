package org.comfreywall.transport.attempt;

import com.google.protobuf.ByteString;
import org.comfreywall.common.attempt.AnswerChunk;
import org.comfreywall.common.attempt.AnswerHead;
import org.comfreywall.sidecar.attempt.SendEnd;
import org.comfreywall.sidecar.attempt.SendPart;
import org.comfreywall.sidecar.attempt.SendRefusal;
import org.comfreywall.sidecar.attempt.SendSealed;
import org.comfreywall.sidecar.attempt.SendStarted;
import org.comfreywall.transport.generated.AnswerEndPart;
import org.comfreywall.transport.generated.AnswerHeadPart;
import org.comfreywall.transport.generated.AttemptEnded;
import org.comfreywall.transport.generated.AttemptPart;
import org.comfreywall.transport.generated.AttemptRefused;
import org.comfreywall.transport.generated.AttemptSealed;
import org.comfreywall.transport.generated.AttemptStarted;
import org.comfreywall.transport.generated.Frame;

/**
 * Creates the frames that sidecars send to entries.
 */
public final class SidecarFrames {

	private SidecarFrames() {
	}

	/**
	 * Creates the frame that reports that an attempt was accepted and may have started.
	 * @param command the command, with the attempt
	 * @return the frame
	 */
	public static Frame started(SendStarted command) {
		return Frame.newBuilder()
			.setStarted(AttemptStarted.newBuilder()
				.setAttempt(EntryFrames.attemptKey(command.attempt()))
				.setIncarnation(command.incarnation().value()))
			.build();
	}

	/**
	 * Creates the frame that carries one part of an answer.
	 * @param command the command, with the attempt and the part
	 * @return the frame
	 */
	public static Frame part(SendPart command) {
		AttemptPart.Builder part = AttemptPart.newBuilder()
			.setAttempt(EntryFrames.attemptKey(command.attempt()))
			.setIncarnation(command.incarnation().value())
			.setSequence(command.sequence());
		if (command.part() instanceof AnswerHead head) {
			part.setHead(AnswerHeadPart.newBuilder().setStatus(head.status()).setContentType(head.contentType()));
		}
		else if (command.part() instanceof AnswerChunk chunk) {
			part.setChunk(ByteString.copyFrom(chunk.payload().toArray()));
		}
		else {
			part.setEnd(AnswerEndPart.getDefaultInstance());
		}
		return Frame.newBuilder().setPart(part).build();
	}

	/**
	 * Creates the frame that reports that an attempt ended without a complete answer.
	 * @param command the command, with the attempt and the reason
	 * @return the frame
	 */
	public static Frame ended(SendEnd command) {
		return Frame.newBuilder()
			.setEnded(AttemptEnded.newBuilder()
				.setAttempt(EntryFrames.attemptKey(command.attempt()))
				.setIncarnation(command.incarnation().value())
				.setEnd(command.end().name())
				.setCrash(command.crash()))
			.build();
	}

	/**
	 * Creates the frame that refuses an attempt.
	 * @param command the command, with the attempt and the reason
	 * @return the frame
	 */
	public static Frame refused(SendRefusal command) {
		return Frame.newBuilder()
			.setRefused(AttemptRefused.newBuilder()
				.setAttempt(EntryFrames.attemptKey(command.attempt()))
				.setIncarnation(command.incarnation().value())
				.setRefusal(command.refusal().name())
				.setWindow(command.window()))
			.build();
	}

	/**
	 * Creates the frame that confirms that an attempt is sealed.
	 * @param command the command, with the attempt
	 * @return the frame
	 */
	public static Frame sealed(SendSealed command) {
		return Frame.newBuilder()
			.setSealed(AttemptSealed.newBuilder()
				.setAttempt(EntryFrames.attemptKey(command.attempt()))
				.setIncarnation(command.incarnation().value()))
			.build();
	}

}
