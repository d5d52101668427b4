package org.comfreywall.transport;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.util.Base64;

/**
 * Creates self-signed certificates with the platform's keytool.
 */
final class TestCertificates {

	private static final String PASSWORD = "changeit";

	private TestCertificates() {
	}

	static TlsFiles create(Path folder, String name) throws Exception {
		Path store = folder.resolve(name + ".p12");
		Path keytool = Path.of(System.getProperty("java.home"), "bin", "keytool");
		int code = new ProcessBuilder(keytool.toString(), "-genkeypair", "-alias", name, "-keyalg", "EC", "-storetype",
				"PKCS12", "-keystore", store.toString(), "-storepass", PASSWORD, "-dname", "CN=" + name, "-validity",
				"3650")
			.start()
			.waitFor();
		if (code != 0) {
			throw new IllegalStateException("keytool failed with exit code " + code);
		}
		KeyStore keys = KeyStore.getInstance("PKCS12");
		try (InputStream input = Files.newInputStream(store)) {
			keys.load(input, PASSWORD.toCharArray());
		}
		Path certificate = write(folder.resolve(name + ".pem"), "CERTIFICATE", keys.getCertificate(name).getEncoded());
		Path key = write(folder.resolve(name + ".key"), "PRIVATE KEY",
				keys.getKey(name, PASSWORD.toCharArray()).getEncoded());
		return new TlsFiles(certificate, key, certificate);
	}

	private static Path write(Path file, String type, byte[] content) throws Exception {
		String base64 = Base64.getMimeEncoder(64, "\n".getBytes(StandardCharsets.US_ASCII)).encodeToString(content);
		return Files.writeString(file, "-----BEGIN " + type + "-----\n" + base64 + "\n-----END " + type + "-----\n");
	}

}
