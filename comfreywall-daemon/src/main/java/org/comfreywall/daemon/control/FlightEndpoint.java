package org.comfreywall.daemon.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.entry.request.FlightEnd;
import org.comfreywall.entry.request.FlightPermit;
import org.comfreywall.entry.request.SingleFlightGuard;
import org.comfreywall.entry.request.SingleFlightGuardSettings;
import org.comfreywall.transport.generated.FlightEndReply;
import org.comfreywall.transport.generated.FlightEndRequest;
import org.comfreywall.transport.generated.FlightReply;
import org.comfreywall.transport.generated.FlightRequest;

/**
 * Handles calls for flight permits: decides whether requests with a fingerprint that
 * hashes to this control instance may run concurrently.
 */
final class FlightEndpoint {

	private final SingleFlightGuard guard;

	private final Function<Fingerprint, PoisonVerdict> verdicts;

	private final Clock clock;

	FlightEndpoint(Function<Fingerprint, PoisonVerdict> verdicts, Clock clock) {
		this.verdicts = Preconditions.notNull(verdicts, "verdicts");
		this.clock = Preconditions.notNull(clock, "clock");
		this.guard = new SingleFlightGuard(SingleFlightGuardSettings.DEFAULT, clock.nanoTime());
	}

	CompletionStage<Result<FlightReply>> requestPermit(FlightRequest request) {
		return answer(() -> FlightReply.newBuilder().setPermit(permit(request).name()).build());
	}

	CompletionStage<Result<FlightEndReply>> recordEnd(FlightEndRequest request) {
		return answer(() -> {
			recordEnd(request.getFlight(), FlightEnd.valueOf(request.getEnd()));
			return FlightEndReply.getDefaultInstance();
		});
	}

	private synchronized FlightPermit permit(FlightRequest request) {
		Fingerprint fingerprint = fingerprint(request);
		if (this.verdicts.apply(fingerprint) != PoisonVerdict.CLEAR) {
			return FlightPermit.SUSPECT;
		}
		return this.guard.requestPermit(fingerprint, RequestId.of(request.getRequest()), request.getCleared(),
				this.clock.nanoTime());
	}

	private synchronized void recordEnd(FlightRequest request, FlightEnd end) {
		this.guard.recordEnd(fingerprint(request), RequestId.of(request.getRequest()), end, this.clock.nanoTime());
	}

	private static Fingerprint fingerprint(FlightRequest request) {
		return new Fingerprint(AccountId.of(request.getAccount()), ServiceId.of(request.getService()),
				request.getBodyDigest());
	}

	private static <T> CompletionStage<Result<T>> answer(Supplier<T> answer) {
		try {
			return CompletableFuture.completedFuture(Result.success(answer.get()));
		}
		catch (IllegalArgumentException ex) {
			return CompletableFuture.completedFuture(Result.failure(OperationError.local(ErrorCode.MALFORMED,
					Step.ADMIT, "the call is malformed: " + ex.getMessage())));
		}
	}

}
