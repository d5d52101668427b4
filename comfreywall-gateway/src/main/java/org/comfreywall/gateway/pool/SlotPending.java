package org.comfreywall.gateway.pool;

/**
 * The request waits in the queue for a free slot.
 *
 * @param request the request's identifier at this entry
 */
public record SlotPending(long request) implements SlotDecision {
}
