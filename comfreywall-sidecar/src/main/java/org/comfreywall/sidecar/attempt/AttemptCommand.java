package org.comfreywall.sidecar.attempt;

/**
 * A command of the registry of attempts to its driver.
 */
public sealed interface AttemptCommand
		permits StartRun, CancelRun, SendStarted, SendPart, SendEnd, SendRefusal, SendSealed, ReportCrash, FinishDrain {

}
