package org.comfreywall.control.log;

/**
 * The driver has no further input at the moment; pending entries are written and sent as
 * one batch.
 */
public record BatchEnded() implements LogEvent {

}
