package org.comfreywall.entry.request;

/**
 * An event that the driver passes to the {@link RequestTracker}.
 */
public sealed interface RequestEvent
		permits RequestAccepted, RouteChosen, RouteUnavailable, ClaimAnswered, ClaimFailed, ClaimReleased,
		FlightAnswered, IsolationAnswered, CrashRecorded, StartNotSent, StartedReceived, PartReceived, EndReceived,
		RefusalReceived, SealedReceived, ConnectionLost, ConnectionRestored, SidecarLost, CallerCancelled, TimePassed {

}
