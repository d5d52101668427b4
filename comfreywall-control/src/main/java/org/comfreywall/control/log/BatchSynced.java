package org.comfreywall.control.log;

/**
 * The write of a {@link SyncBatch} or {@link SaveSnapshot} and all writes before it are
 * synced to disk.
 *
 * @param sequence the sequence number of the command
 */
public record BatchSynced(long sequence) implements LogEvent {

}
