package org.comfreywall.bench.request;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.entry.request.RequestSpec;

/**
 * The work that a caller requests, independent of how often it submits the request.
 *
 * @param id the identifier, also used as idempotency key
 * @param kind whether it may run more than once, and whether it has an idempotency key
 * @param body the body of the request, which determines its fingerprint
 * @param poison whether it crashes each backend server that runs it
 */
record Operation(String id, Kind kind, String body, boolean poison) {

	static final int ANSWER_CHUNKS = 3;

	private static final AccountId ACCOUNT = AccountId.of("account");

	private static final ServiceId SERVICE = ServiceId.of("service");

	RequestSpec requestSpec(RequestId request) {
		Optional<IdempotencyKey> key = (this.kind == Kind.KEYED) ? Optional.of(IdempotencyKey.of(this.id))
				: Optional.empty();
		return new RequestSpec(request, fingerprint(), key, this.kind == Kind.IDEMPOTENT, this.kind == Kind.KEYED);
	}

	Fingerprint fingerprint() {
		return new Fingerprint(ACCOUNT, SERVICE, Bytes.ofText(this.body).sha256());
	}

	List<String> answerChunks() {
		return List.of(this.body + "#0;", this.body + "#1;", this.body + "#2;");
	}

	enum Kind {

		/** May run more than once. */
		IDEMPOTENT,
		/** Must not run more than once; has an idempotency key. */
		KEYED,
		/** Must not run more than once; has no idempotency key. */
		UNKEYED

	}

}
