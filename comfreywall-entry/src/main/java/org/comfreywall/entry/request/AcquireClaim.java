package org.comfreywall.entry.request;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Claims an idempotency key on a quorum. The driver responds with {@link ClaimAnswered}
 * or {@link ClaimFailed}.
 *
 * @param request the request
 * @param key the idempotency key
 * @param bodyDigest the digest of the request body; a claim on the same key with another
 * digest is rejected
 * @param target the target of the only attempt that the claim permits
 */
public record AcquireClaim(RequestId request, ClaimKey key, String bodyDigest,
		AttemptTarget target) implements RequestCommand {

	public AcquireClaim {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(key, "key");
		Preconditions.notNull(bodyDigest, "bodyDigest");
		Preconditions.notNull(target, "target");
	}

}
