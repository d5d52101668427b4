package org.comfreywall.sidecar.attempt;

/**
 * A command that {@link AttemptRegistry} returns to its driver.
 */
public sealed interface AttemptCommand
		permits StartRun, CancelRun, SendStarted, SendPart, SendEnd, SendRefusal, SendSealed, ReportCrash, FinishDrain {

}
