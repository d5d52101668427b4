package org.comfreywall.transport.attempt;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import org.comfreywall.common.attempt.AnswerChunk;
import org.comfreywall.common.attempt.AnswerEnd;
import org.comfreywall.common.attempt.AnswerHead;
import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.attempt.AttemptEnd;
import org.comfreywall.common.attempt.AttemptRefusal;
import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.attempt.AttemptTraits;
import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.entry.request.EndReceived;
import org.comfreywall.entry.request.PartReceived;
import org.comfreywall.entry.request.RefusalReceived;
import org.comfreywall.entry.request.RequestEvent;
import org.comfreywall.entry.request.SealedReceived;
import org.comfreywall.entry.request.StartedReceived;
import org.comfreywall.sidecar.attempt.AttemptEvent;
import org.comfreywall.sidecar.attempt.CancelReceived;
import org.comfreywall.sidecar.attempt.ClaimQueryReceived;
import org.comfreywall.sidecar.attempt.EntryLink;
import org.comfreywall.sidecar.attempt.ResumeReceived;
import org.comfreywall.sidecar.attempt.SealReceived;
import org.comfreywall.sidecar.attempt.StartReceived;
import org.comfreywall.transport.generated.AttemptKey;
import org.comfreywall.transport.generated.AttemptPart;
import org.comfreywall.transport.generated.AttemptStart;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.generated.Target;

/**
 * Decodes frames about attempts into events of the entry's and the sidecar's state
 * machines.
 * <p>
 * Invalid frames result in {@link ErrorCode#MALFORMED}.
 */
public final class AttemptDecoder {

	private AttemptDecoder() {
	}

	/**
	 * Decodes a frame from an entry.
	 * @param frame the frame
	 * @param link the connection on which it arrived
	 * @return the event
	 */
	public static Result<AttemptEvent> fromEntry(Frame frame, EntryLink link) {
		return decode(frame, () -> switch (frame.getBodyCase()) {
			case START -> start(frame.getStart(), link);
			case SEAL ->
				new SealReceived(attempt(frame.getSeal().getAttempt()), target(frame.getSeal().getTarget()), link);
			case RESUME -> new ResumeReceived(attempt(frame.getResume().getAttempt()),
					Incarnation.of(frame.getResume().getIncarnation()), frame.getResume().getNextSequence(), link);
			case CANCEL -> new CancelReceived(attempt(frame.getCancel().getAttempt()),
					Incarnation.of(frame.getCancel().getIncarnation()));
			case CLAIM_QUERY -> new ClaimQueryReceived(RequestId.of(frame.getClaimQuery().getOwner()),
					Incarnation.of(frame.getClaimQuery().getIncarnation()), link);
			default -> throw new IllegalArgumentException("not a frame that an entry sends");
		});
	}

	/**
	 * Decodes a frame from a sidecar.
	 * @param frame the frame
	 * @param server the backend server beside the sidecar
	 * @return the event
	 */
	public static Result<RequestEvent> fromSidecar(Frame frame, BackendServerId server) {
		return decode(frame, () -> switch (frame.getBodyCase()) {
			case STARTED -> new StartedReceived(attempt(frame.getStarted().getAttempt()), server,
					Incarnation.of(frame.getStarted().getIncarnation()));
			case PART -> new PartReceived(attempt(frame.getPart().getAttempt()), server,
					Incarnation.of(frame.getPart().getIncarnation()), frame.getPart().getSequence(),
					part(frame.getPart()));
			case ENDED -> new EndReceived(attempt(frame.getEnded().getAttempt()), server,
					Incarnation.of(frame.getEnded().getIncarnation()), AttemptEnd.valueOf(frame.getEnded().getEnd()),
					frame.getEnded().getCrash());
			case REFUSED -> new RefusalReceived(attempt(frame.getRefused().getAttempt()), server,
					Incarnation.of(frame.getRefused().getIncarnation()),
					AttemptRefusal.valueOf(frame.getRefused().getRefusal()));
			case SEALED -> new SealedReceived(attempt(frame.getSealed().getAttempt()), server,
					Incarnation.of(frame.getSealed().getIncarnation()));
			default -> throw new IllegalArgumentException("not a frame that a sidecar sends");
		});
	}

	/**
	 * Decodes the HTTP request that an attempt sends to the backend server.
	 * @param start the message that starts the attempt
	 * @return the payload
	 */
	public static Result<AttemptPayload> payload(AttemptStart start) {
		return decode(start, () -> new AttemptPayload(start.getMethod(), start.getPath(), start.getContentType(),
				Bytes.of(start.getBody().toByteArray()), priority(start.getPriority()),
				Duration.ofMillis(start.getRemainingMillis()),
				Optional.of(start.getIdempotencyKey()).filter((key) -> !key.isBlank()).map(IdempotencyKey::of)));
	}

	private static StartReceived start(AttemptStart start, EntryLink link) {
		Fingerprint fingerprint = new Fingerprint(AccountId.of(start.getAccount()), ServiceId.of(start.getService()),
				start.getBodyDigest());
		AttemptTraits traits = new AttemptTraits(fingerprint, start.getIdempotent(), start.getClaimed(),
				start.getIsolated());
		return new StartReceived(attempt(start.getAttempt()), target(start.getTarget()), traits, link);
	}

	private static AnswerPart part(AttemptPart part) {
		return switch (part.getPartCase()) {
			case HEAD -> new AnswerHead(part.getHead().getStatus(), part.getHead().getContentType());
			case CHUNK -> new AnswerChunk(Bytes.of(part.getChunk().toByteArray()));
			case END -> new AnswerEnd();
			default -> throw new IllegalArgumentException("answer part without HEAD, CHUNK or END");
		};
	}

	// The ordinal is the index of the constant in PriorityClass.
	private static PriorityClass priority(int ordinal) {
		PriorityClass[] all = PriorityClass.values();
		if (ordinal >= all.length) {
			throw new IllegalArgumentException("unknown ordinal of a priority class: " + ordinal);
		}
		return all[ordinal];
	}

	private static AttemptId attempt(AttemptKey key) {
		return new AttemptId(RequestId.of(key.getRequest()), key.getNumber());
	}

	private static AttemptTarget target(Target target) {
		return new AttemptTarget(BackendServerId.of(target.getBackendServer()), Incarnation.of(target.getIncarnation()),
				target.getWindow());
	}

	private static <T> Result<T> decode(Object message, Supplier<T> decoder) {
		try {
			return Result.success(decoder.get());
		}
		catch (IllegalArgumentException ex) {
			return Result.failure(OperationError.local(ErrorCode.MALFORMED, Step.SEND,
					message.getClass().getSimpleName() + " is malformed: " + ex.getMessage()));
		}
	}

}
