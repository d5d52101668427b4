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
 * What a caller wants done, however often it sends the request.
 *
 * @param id the operation
 * @param kind whether and how it may be repeated
 * @param body the body
 * @param poison whether it crashes each backend server that runs it
 */
record Operation(String id, Kind kind, String body, boolean poison) {

	static final int CHUNKS = 3;

	private static final AccountId ACCOUNT = AccountId.of("account");

	private static final ServiceId SERVICE = ServiceId.of("service");

	RequestSpec spec(RequestId request) {
		Optional<IdempotencyKey> key = (this.kind == Kind.KEYED) ? Optional.of(IdempotencyKey.of(this.id))
				: Optional.empty();
		return new RequestSpec(request, fingerprint(), key, this.kind == Kind.IDEMPOTENT, this.kind == Kind.KEYED);
	}

	Fingerprint fingerprint() {
		return new Fingerprint(ACCOUNT, SERVICE, Bytes.ofText(this.body).sha256());
	}

	List<String> answer() {
		return List.of(this.body + "#0;", this.body + "#1;", this.body + "#2;");
	}

	enum Kind {

		/** May be repeated. */
		IDEMPOTENT,
		/** Must not be repeated and has an idempotency key. */
		KEYED,
		/** Must not be repeated and has no key. */
		UNKEYED

	}

}
