package org.comfreywall.control.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;

/**
 * Makes what was written to a file durable.
 */
@FunctionalInterface
interface FileSync {

	/** Syncs with the operating system's call. */
	FileSync FORCE = (channel) -> channel.force(false);

	void sync(FileChannel channel) throws IOException;

}
