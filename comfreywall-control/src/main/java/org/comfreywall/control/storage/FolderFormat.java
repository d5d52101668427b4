package org.comfreywall.control.storage;

import java.io.IOException;
import java.io.StringReader;
import java.util.Properties;

import org.comfreywall.common.id.InstanceId;

/**
 * The format version and identity of a data folder.
 *
 * @param version the format version
 * @param instance the instance that the folder belongs to
 * @param storageId the identifier of the folder
 * @param uninitialized whether the folder was empty, so that it has to be initialized
 */
record FolderFormat(int version, InstanceId instance, long storageId, boolean uninitialized) {

	static final int VERSION = 1;

	static FolderFormat parse(String text) throws IOException {
		Properties properties = new Properties();
		properties.load(new StringReader(text));
		try {
			return new FolderFormat(Integer.parseInt(properties.getProperty("version")),
					InstanceId.of(properties.getProperty("instance")),
					Long.parseLong(properties.getProperty("storage-id")), false);
		}
		catch (IllegalArgumentException ex) {
			throw new StorageException("the FORMAT file is damaged; replace this instance: " + ex.getMessage());
		}
	}

	String toText() {
		return "version=" + this.version + "\ninstance=" + this.instance + "\nstorage-id=" + this.storageId + "\n";
	}

}
