package org.comfreywall.daemon.http;

import java.io.IOException;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.Vertx;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.ServerSSLOptions;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.TlsFiles;

/**
 * TLS configuration of HTTP listeners. Reloads the certificate, key and trust files when
 * they change.
 */
public final class HttpSecurity {

	/** Leaves listeners unencrypted. */
	public static final HttpSecurity PLAIN = new HttpSecurity(Optional.empty());

	private static final EventLog LOG = EventLog.of(HttpSecurity.class);

	private static final Duration RELOAD_CHECK_INTERVAL = Duration.ofSeconds(5);

	private final Optional<TlsFiles> files;

	/**
	 * Creates a TLS configuration.
	 * @param files the PEM files, or empty to leave listeners unencrypted
	 */
	public HttpSecurity(Optional<TlsFiles> files) {
		this.files = Preconditions.notNull(files, "files");
	}

	/**
	 * Returns the URL scheme of the listeners.
	 * @return {@code http} or {@code https}
	 */
	public String scheme() {
		return this.files.isPresent() ? "https" : "http";
	}

	/**
	 * Creates a listener.
	 * @param vertx runs the listener
	 * @param options the address and limits of the listener
	 * @param clients whether clients must present a certificate
	 * @return the listener, not yet listening
	 */
	public HttpServer create(Vertx vertx, HttpServerOptions options, ClientAuth clients) {
		if (this.files.isEmpty()) {
			return vertx.createHttpServer(options);
		}
		TlsFiles pem = this.files.get();
		options.setSsl(true)
			.setUseAlpn(true)
			.setClientAuth(clients)
			.setKeyCertOptions(keys(pem))
			.setTrustOptions(trust(pem));
		HttpServer server = vertx.createHttpServer(options);
		AtomicReference<List<FileTime>> loaded = new AtomicReference<>(modified(pem));
		vertx.setPeriodic(RELOAD_CHECK_INTERVAL.toMillis(), (timer) -> reload(server, pem, clients, loaded));
		return server;
	}

	private static void reload(HttpServer server, TlsFiles pem, ClientAuth clients,
			AtomicReference<List<FileTime>> loaded) {
		List<FileTime> present = modified(pem);
		if (present.isEmpty() || present.equals(loaded.getAndSet(present))) {
			return;
		}
		ServerSSLOptions options = new ServerSSLOptions().setKeyCertOptions(keys(pem)).setTrustOptions(trust(pem));
		options.setClientAuth(clients);
		server.updateSSLOptions(options)
			.onSuccess((done) -> LOG.info("tls-files-reloaded", Field.of("certificate", pem.certificate())))
			.onFailure((cause) -> LOG.error("tls-files-unusable", Field.of("error", cause.getMessage())));
	}

	private static List<FileTime> modified(TlsFiles pem) {
		try {
			return pem.modificationTimes();
		}
		catch (IOException ex) {
			LOG.error("tls-files-unusable", Field.of("error", ex.getMessage()));
			return List.of();
		}
	}

	private static PemKeyCertOptions keys(TlsFiles pem) {
		return new PemKeyCertOptions().setCertPath(pem.certificate().toString()).setKeyPath(pem.key().toString());
	}

	private static PemTrustOptions trust(TlsFiles pem) {
		return new PemTrustOptions().addCertPath(pem.trust().toString());
	}

}
