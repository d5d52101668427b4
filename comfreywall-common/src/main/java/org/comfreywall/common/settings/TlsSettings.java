package org.comfreywall.common.settings;

import java.nio.file.Path;

import org.comfreywall.common.util.Preconditions;

/**
 * Files with the keys of all listeners and of connections between instances; they are
 * read again when they change.
 *
 * @param certificate the instance's certificate chain, PEM
 * @param key the certificate's private key, PEM
 * @param trust the certificates that other instances' certificates must lead to, PEM
 */
public record TlsSettings(Path certificate, Path key, Path trust) {

	public TlsSettings {
		Preconditions.notNull(certificate, "certificate");
		Preconditions.notNull(key, "key");
		Preconditions.notNull(trust, "trust");
	}

}
