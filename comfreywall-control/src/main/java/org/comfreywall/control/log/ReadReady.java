package org.comfreywall.control.log;

/**
 * A read may be answered once the given index is applied.
 *
 * @param read the read
 * @param index the index to be applied first
 */
public record ReadReady(long read, long index) implements LogCommand {

}
