package org.comfreywall.transport;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.transport.generated.Frame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TlsSecurity}.
 */
class TlsSecurityTests {

	private static final ConnectionTimeouts TIMEOUTS = new ConnectionTimeouts(Duration.ofSeconds(1),
			Duration.ofSeconds(30), Duration.ofSeconds(60), Duration.ofSeconds(10));

	private final Closer closer = new Closer();

	@TempDir
	private Path folder;

	@AfterEach
	void close() throws Exception {
		this.closer.close();
	}

	@Test
	void connectsPeersWithTrustedCertificates() throws Exception {
		TlsFiles files = TestCertificates.create(this.folder, "fleet");
		TransportServer server = listen(files);
		assertThat(connect(files, server)).isTrue();
	}

	@Test
	void rejectsUntrustedPeersUntilFilesAreReplaced() throws Exception {
		TlsFiles old = TestCertificates.create(this.folder, "old");
		TlsFiles renewed = TestCertificates.create(this.folder, "renewed");
		TransportServer server = listen(old);
		assertThat(connect(renewed, server)).isFalse();
		replace(old, renewed);
		assertThat(connect(renewed, server)).isTrue();
	}

	@Test
	void reportsMissingFileInError() {
		Path missing = this.folder.resolve("missing.pem");
		assertThat(TlsSecurity.load(new TlsFiles(missing, missing, missing)).error().map(OperationError::message))
			.hasValueSatisfying((message) -> assertThat(message).contains("missing.pem"));
	}

	private TransportServer listen(TlsFiles files) {
		return transport("server", files).listen(new HostPort("127.0.0.1", 0), new OpenListener());
	}

	private boolean connect(TlsFiles files, TransportServer server) throws Exception {
		OpenListener listener = new OpenListener();
		transport("client", files).connect(server.address(), listener).get(20, TimeUnit.SECONDS);
		return listener.opened.get(20, TimeUnit.SECONDS);
	}

	private Transport transport(String name, TlsFiles files) {
		TransportSecurity security = TlsSecurity.load(files).value().orElseThrow();
		return this.closer
			.register(new Transport(new PeerIdentity(InstanceId.of(name), Incarnation.of(1)), TIMEOUTS, security, 1));
	}

	private static void replace(TlsFiles old, TlsFiles renewed) throws Exception {
		Files.copy(renewed.key(), old.key(), StandardCopyOption.REPLACE_EXISTING);
		Files.copy(renewed.certificate(), old.certificate(), StandardCopyOption.REPLACE_EXISTING);
		// A time that differs from that of the old file even if both were written within
		// the resolution of the file system's clock, so that the change is detected.
		Files.setLastModifiedTime(old.certificate(), FileTime.fromMillis(1));
	}

	/**
	 * Records whether the peer was accepted: whether the connection opened, or closed
	 * without having opened.
	 */
	private static final class OpenListener implements PeerListener {

		private final CompletableFuture<Boolean> opened = new CompletableFuture<>();

		@Override
		public void onOpen(PeerConnection connection) {
			this.opened.complete(true);
		}

		@Override
		public void onFrame(PeerConnection connection, Frame frame) {
			connection.close();
		}

		@Override
		public void onClosed(PeerConnection connection, OperationError reason) {
			this.opened.complete(false);
		}

	}

}
