package org.comfreywall.control.log;

/**
 * Everything up to a {@link SyncBatch} or {@link SaveSnapshot} is on synced disk.
 *
 * @param sequence the number of the command
 */
public record BatchSynced(long sequence) implements LogEvent {

}
