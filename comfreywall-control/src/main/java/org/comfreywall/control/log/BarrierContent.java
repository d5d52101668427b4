package org.comfreywall.control.log;

/**
 * The no-op entry that a leader appends at the start of its term. Once it is committed,
 * all entries of earlier terms are committed as well.
 */
public record BarrierContent() implements EntryContent {

}
