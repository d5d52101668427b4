package org.comfreywall.sidecar.attempt;

/**
 * An event that the registry of attempts handles.
 */
public sealed interface AttemptEvent permits StartReceived, SealReceived, ClaimQueryReceived, ResumeReceived,
		CancelReceived, LinkLost, PartProduced, RunRefused, RunBroken, BackendCrashed, DrainStarted, TimePassed {

}
