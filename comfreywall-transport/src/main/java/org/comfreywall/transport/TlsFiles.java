package org.comfreywall.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * PEM files with which a process proves its identity and checks that of others.
 *
 * @param certificate the certificate chain
 * @param key the private key
 * @param trust the certificates that others must be signed with
 */
public record TlsFiles(Path certificate, Path key, Path trust) {

	public TlsFiles {
		Preconditions.notNull(certificate, "certificate");
		Preconditions.notNull(key, "key");
		Preconditions.notNull(trust, "trust");
	}

	/**
	 * Returns the times at which the files were changed last.
	 * @return the times, in the order of the record's components
	 * @throws IOException if a file cannot be looked at
	 */
	public List<FileTime> modified() throws IOException {
		List<FileTime> times = new ArrayList<>();
		for (Path file : List.of(this.certificate, this.key, this.trust)) {
			times.add(Files.getLastModifiedTime(file));
		}
		return times;
	}

}
