package org.comfreywall.transport.attempt;

import com.google.protobuf.ByteString;
import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.entry.request.SendCancel;
import org.comfreywall.entry.request.SendClaimQuery;
import org.comfreywall.entry.request.SendResume;
import org.comfreywall.entry.request.SendSeal;
import org.comfreywall.entry.request.SendStart;
import org.comfreywall.transport.generated.AttemptCancel;
import org.comfreywall.transport.generated.AttemptKey;
import org.comfreywall.transport.generated.AttemptResume;
import org.comfreywall.transport.generated.AttemptSeal;
import org.comfreywall.transport.generated.AttemptStart;
import org.comfreywall.transport.generated.ClaimQuery;
import org.comfreywall.transport.generated.Credit;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.generated.Target;

/**
 * Creates the frames that entries send to sidecars.
 */
public final class EntryFrames {

	private EntryFrames() {
	}

	/**
	 * Creates the frame that starts an attempt.
	 * @param command the command, with the attempt, its target and its traits
	 * @param payload the HTTP request for the backend server
	 * @param credit the number of answer parts that the sidecar may send
	 * @return the frame
	 */
	public static Frame start(SendStart command, AttemptPayload payload, int credit) {
		// The priority is sent as the ordinal of its PriorityClass, so the order of the
		// constants is part of the protocol.
		AttemptStart start = AttemptStart.newBuilder()
			.setAttempt(attemptKey(command.attempt()))
			.setTarget(target(command.target()))
			.setAccount(command.traits().fingerprint().account().value())
			.setService(command.traits().fingerprint().service().value())
			.setBodyDigest(command.traits().fingerprint().bodyDigest())
			.setIdempotent(command.traits().idempotent())
			.setClaimed(command.traits().claimed())
			.setIsolated(command.traits().isolated())
			.setMethod(payload.method())
			.setPath(payload.path())
			.setContentType(payload.contentType())
			.setBody(ByteString.copyFrom(payload.body().toArray()))
			.setPriority(payload.priority().ordinal())
			.setRemainingMillis(Math.max(0, payload.remaining().toMillis()))
			.setIdempotencyKey(payload.idempotencyKey().map(IdempotencyKey::value).orElse(""))
			.setCredit(credit)
			.build();
		return Frame.newBuilder().setStart(start).build();
	}

	/**
	 * Creates the frame that seals an attempt.
	 * @param command the command, with the attempt and its target
	 * @return the frame
	 */
	public static Frame seal(SendSeal command) {
		return Frame.newBuilder()
			.setSeal(AttemptSeal.newBuilder()
				.setAttempt(attemptKey(command.attempt()))
				.setTarget(target(command.target())))
			.build();
	}

	/**
	 * Creates the frame that resumes the stream of an answer.
	 * @param command the command, with the attempt and the next sequence number
	 * @param credit the number of answer parts that the sidecar may send
	 * @return the frame
	 */
	public static Frame resume(SendResume command, int credit) {
		return Frame.newBuilder()
			.setResume(AttemptResume.newBuilder()
				.setAttempt(attemptKey(command.attempt()))
				.setIncarnation(command.incarnation().value())
				.setNextSequence(command.nextSequence())
				.setCredit(credit))
			.build();
	}

	/**
	 * Creates the frame that cancels an attempt.
	 * @param command the command, with the attempt and the addressed incarnation
	 * @return the frame
	 */
	public static Frame cancel(SendCancel command) {
		return Frame.newBuilder()
			.setCancel(AttemptCancel.newBuilder()
				.setAttempt(attemptKey(command.attempt()))
				.setIncarnation(command.incarnation().value()))
			.build();
	}

	/**
	 * Creates the frame that queries the attempt of the request that owns a claim.
	 * @param command the command, with the owner and the incarnation of its sidecar
	 * @param credit the number of answer parts that the sidecar may send
	 * @return the frame
	 */
	public static Frame claimQuery(SendClaimQuery command, int credit) {
		return Frame.newBuilder()
			.setClaimQuery(ClaimQuery.newBuilder()
				.setOwner(command.owner().value())
				.setIncarnation(command.incarnation().value())
				.setCredit(credit))
			.build();
	}

	/**
	 * Creates the frame that grants credit for more answer parts.
	 * @param request the request whose answer is received
	 * @param parts the number of additional parts
	 * @return the frame
	 */
	public static Frame credit(RequestId request, int parts) {
		return Frame.newBuilder().setCredit(Credit.newBuilder().setRequest(request.value()).setParts(parts)).build();
	}

	static AttemptKey attemptKey(AttemptId attempt) {
		return AttemptKey.newBuilder().setRequest(attempt.request().value()).setNumber(attempt.number()).build();
	}

	private static Target target(AttemptTarget target) {
		return Target.newBuilder()
			.setBackendServer(target.backendServer().value())
			.setIncarnation(target.incarnation().value())
			.setWindow(target.window())
			.build();
	}

}
