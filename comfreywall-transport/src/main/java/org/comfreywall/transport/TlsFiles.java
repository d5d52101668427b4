package org.comfreywall.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * PEM files with which a process authenticates itself and verifies its peers.
 *
 * @param certificate the certificate chain
 * @param key the private key
 * @param trust the CA certificates that peers' certificates must chain to
 */
public record TlsFiles(Path certificate, Path key, Path trust) {

	public TlsFiles {
		Preconditions.notNull(certificate, "certificate");
		Preconditions.notNull(key, "key");
		Preconditions.notNull(trust, "trust");
	}

	/**
	 * Returns the modification times of the files.
	 * @return the times, in the order of the record's components
	 * @throws IOException if the attributes of a file cannot be read
	 */
	public List<FileTime> modificationTimes() throws IOException {
		List<FileTime> times = new ArrayList<>();
		for (Path file : List.of(this.certificate, this.key, this.trust)) {
			times.add(Files.getLastModifiedTime(file));
		}
		return times;
	}

}
