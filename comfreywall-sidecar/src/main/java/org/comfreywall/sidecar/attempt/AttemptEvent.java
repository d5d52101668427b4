package org.comfreywall.sidecar.attempt;

/**
 * An input event of {@link AttemptRegistry}.
 */
public sealed interface AttemptEvent permits StartReceived, SealReceived, ClaimQueryReceived, ResumeReceived,
		CancelReceived, LinkLost, PartProduced, RunRefused, RunBroken, BackendCrashed, DrainStarted, TimePassed {

}
