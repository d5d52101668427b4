package org.comfreywall.entry.route;

/**
 * An event that the driver passes to a router.
 */
public sealed interface RouterEvent permits ServerAnnounced, ServerLeaving, ServerRemoved, EntriesChanged, LoadReported,
		CacheEventReceived, AttemptSent, FirstTokenReceived, AttemptFinished, AttemptFailed, TimePassed {

}
