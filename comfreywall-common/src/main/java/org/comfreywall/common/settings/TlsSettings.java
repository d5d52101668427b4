package org.comfreywall.common.settings;

import java.nio.file.Path;

import org.comfreywall.common.util.Preconditions;

/**
 * The certificate and key files for TLS on all listeners and on connections between
 * instances. Changed files are reloaded.
 *
 * @param certificate the file with the instance's certificate chain, PEM
 * @param key the file with the certificate's private key, PEM
 * @param trust the file with the trusted CA certificates for other instances, PEM
 */
public record TlsSettings(Path certificate, Path key, Path trust) {

	public TlsSettings {
		Preconditions.notNull(certificate, "certificate");
		Preconditions.notNull(key, "key");
		Preconditions.notNull(trust, "trust");
	}

}
