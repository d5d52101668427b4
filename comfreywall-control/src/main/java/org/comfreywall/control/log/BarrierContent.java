package org.comfreywall.control.log;

/**
 * The first entry of a leader's term; it carries nothing.
 */
public record BarrierContent() implements EntryContent {

}
