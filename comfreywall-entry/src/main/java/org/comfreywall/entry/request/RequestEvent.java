package org.comfreywall.entry.request;

/**
 * An event in the life of callers' requests.
 */
public sealed interface RequestEvent permits RequestAccepted, RouteChosen, RouteUnavailable, ClaimAnswered, ClaimFailed,
		FlightAnswered, IsolationAnswered, CrashRecorded, StartNotSent, StartedReceived, PartReceived, EndReceived,
		RefusalReceived, SealedReceived, ConnectionLost, ConnectionRestored, SidecarLost, CallerCancelled, TimePassed {

}
