package org.comfreywall.entry.route;

/**
 * What a router is told.
 */
public sealed interface RouterEvent permits ServerAnnounced, ServerLeaving, ServerRemoved, EntriesChanged, LoadReported,
		CacheChanged, AttemptSent, FirstTokenReceived, AttemptFinished, AttemptFailed, TimePassed {

}
