package org.comfreywall.control.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;

/**
 * Makes the data written to a file durable.
 */
@FunctionalInterface
interface FileSync {

	/**
	 * Syncs the data of the file, but not all of its metadata, with the operating system.
	 */
	FileSync FORCE = (channel) -> channel.force(false);

	void sync(FileChannel channel) throws IOException;

}
