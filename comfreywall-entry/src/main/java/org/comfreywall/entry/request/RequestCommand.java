package org.comfreywall.entry.request;

/**
 * A command that the {@link RequestTracker} returns to its driver.
 */
public sealed interface RequestCommand permits ChooseRoute, AcquireClaim, FinishClaim, MarkClaimUnknown, ReleaseClaim,
		RequestFlightPermit, ReportFlightEnd, SendStart, SendSeal, SendClaimQuery, SendResume, SendCancel,
		ProbeConnection, AcquireIsolation, ReleaseIsolation, RecordCrash, DeliverPart, CompleteRequest {

}
