package org.comfreywall.transport;

import java.io.IOException;
import java.nio.file.attribute.FileTime;
import java.util.List;

import javax.net.ssl.SSLException;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;

/**
 * Secures connections with mutual TLS.
 * <p>
 * Any certificate that chains to the trust file is accepted. The host name in it is not
 * verified, because peers are addressed by IP address. Files are checked for changes
 * whenever a connection is opened or accepted: changed files apply to that and later
 * connections, and if they cannot be loaded the previous contexts stay in use.
 */
public final class TlsSecurity implements TransportSecurity {

	private static final EventLog LOG = EventLog.of(TlsSecurity.class);

	private final TlsFiles files;

	private Contexts contexts;

	private TlsSecurity(TlsFiles files, Contexts contexts) {
		this.files = files;
		this.contexts = contexts;
	}

	/**
	 * Loads the PEM files.
	 * @param files the files
	 * @return the TLS configuration, or an error with the reason why the files cannot be
	 * loaded
	 */
	public static Result<TlsSecurity> load(TlsFiles files) {
		Preconditions.notNull(files, "files");
		try {
			return Result.success(new TlsSecurity(files, loadContexts(files)));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Result.failure(OperationError.local(ErrorCode.INVALID_INPUT, Step.SETTINGS,
					"[tls]: cannot load the PEM files (" + ex.getMessage() + ")"));
		}
	}

	@Override
	public List<ChannelHandler> serverHandlers(Channel channel) {
		return List.of(currentContexts().serverContext().newHandler(channel.alloc()));
	}

	@Override
	public List<ChannelHandler> clientHandlers(Channel channel) {
		return List.of(currentContexts().clientContext().newHandler(channel.alloc()));
	}

	private synchronized Contexts currentContexts() {
		try {
			if (!this.files.modificationTimes().equals(this.contexts.modificationTimes())) {
				this.contexts = loadContexts(this.files);
				LOG.info("tls-files-reloaded", Field.of("certificate", this.files.certificate()));
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			LOG.error("tls-files-unusable", Field.of("error", ex.getMessage()));
		}
		return this.contexts;
	}

	private static Contexts loadContexts(TlsFiles files) throws IOException {
		List<FileTime> modified = files.modificationTimes();
		return new Contexts(modified, createServerContext(files), createClientContext(files));
	}

	private static SslContext createServerContext(TlsFiles files) throws SSLException {
		return SslContextBuilder.forServer(files.certificate().toFile(), files.key().toFile())
			.trustManager(files.trust().toFile())
			.clientAuth(ClientAuth.REQUIRE)
			.build();
	}

	private static SslContext createClientContext(TlsFiles files) throws SSLException {
		return SslContextBuilder.forClient()
			.keyManager(files.certificate().toFile(), files.key().toFile())
			.trustManager(files.trust().toFile())
			.endpointIdentificationAlgorithm(null)
			.build();
	}

	/**
	 * TLS contexts with the modification times of the files that they were loaded from.
	 *
	 * @param modificationTimes the modification times of the files
	 * @param serverContext the context for accepted connections
	 * @param clientContext the context for connections opened by this process
	 */
	private record Contexts(List<FileTime> modificationTimes, SslContext serverContext, SslContext clientContext) {

	}

}
