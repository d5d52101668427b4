package org.comfreywall.common.settings;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.toml.KeyDescriptor;
import org.comfreywall.common.toml.TableDescriptor;
import org.comfreywall.common.toml.ValueType;
import org.comfreywall.common.toml.ValueTypes;

/**
 * The descriptors of all keys of an instance's settings.
 */
public final class SettingsKeys {

	/** The maximum number of control instances. */
	public static final int MAX_CONTROL_INSTANCES = 7;

	private static final int ROLE_COUNT = Role.values().length;

	private static final ValueType<List<HostPort>> CONTROL_ADDRESSES = ValueTypes.listOf(ValueTypes.address(), 1,
			MAX_CONTROL_INSTANCES);

	static final KeyDescriptor<String> NAME = KeyDescriptor.required("name", ValueTypes.name(),
			"The instance's name, unique in the fleet; a sidecar's backend server goes by it too.");

	static final KeyDescriptor<List<Role>> ROLES = KeyDescriptor.required("roles",
			ValueTypes.listOf(ValueTypes.oneOf(Role.class), 1, ROLE_COUNT),
			"The roles that the instance holds; each needs its own table below.");

	static final KeyDescriptor<String> FAILURE_DOMAIN = KeyDescriptor.required("failure-domain", ValueTypes.name(),
			"The failure domain that the instance is in, as named in the configuration.");

	static final KeyDescriptor<String> REGION = KeyDescriptor.required("region", ValueTypes.name(),
			"The region of the failure domain.");

	static final KeyDescriptor<LogLevel> LOG_LEVEL = KeyDescriptor.withDefault("log-level",
			ValueTypes.oneOf(LogLevel.class), "\"info\"", "The least severe events that are logged.");

	static final KeyDescriptor<HostPort> ADMIN_LISTEN = KeyDescriptor.withDefault("listen", ValueTypes.address(),
			"\"127.0.0.1:9901\"", "The address on which operators' requests are taken.");

	static final KeyDescriptor<HostPort> ENTRY_LISTEN = KeyDescriptor.required("listen", ValueTypes.address(),
			"The address on which callers' requests are taken.");

	static final KeyDescriptor<List<HostPort>> ENTRY_CONTROL = KeyDescriptor.required("control", CONTROL_ADDRESSES,
			"The addresses of the control instances.");

	static final KeyDescriptor<Long> MAX_BODY = KeyDescriptor.withDefault("max-body", ValueTypes.size("1KB", "256MB"),
			"\"8MB\"", "The largest request body; larger ones are refused.");

	static final KeyDescriptor<Long> MAX_HEADERS = KeyDescriptor.withDefault("max-headers",
			ValueTypes.size("1KB", "256KB"), "\"16KB\"", "The largest request head, all headers together.");

	static final KeyDescriptor<Duration> HEADER_TIMEOUT = KeyDescriptor.withDefault("header-timeout",
			ValueTypes.duration("100ms", "5m"), "\"10s\"", "How long a caller may take to send a request's head.");

	static final KeyDescriptor<Duration> BODY_TIMEOUT = KeyDescriptor.withDefault("body-timeout",
			ValueTypes.duration("100ms", "1h"), "\"30s\"", "How long a caller may take to send a request's body.");

	static final KeyDescriptor<Duration> REQUEST_TIMEOUT = KeyDescriptor.withDefault("request-timeout",
			ValueTypes.duration("100ms", "24h"), "\"10m\"", "The deadline of requests that bring none.");

	static final KeyDescriptor<HostPort> SIDECAR_LISTEN = KeyDescriptor.required("listen", ValueTypes.address(),
			"The address on which entries connect.");

	static final KeyDescriptor<String> SERVICE = KeyDescriptor.required("service", ValueTypes.name(),
			"The service that the backend server offers, as named in the configuration.");

	static final KeyDescriptor<URI> BACKEND = KeyDescriptor.required("backend", ValueTypes.httpUrl(),
			"The base URL of the backend server.");

	static final KeyDescriptor<EngineRole> ENGINE_ROLE = KeyDescriptor.withDefault("role",
			ValueTypes.oneOf(EngineRole.class), "\"mixed\"", "The part of requests that the backend server runs.");

	static final KeyDescriptor<Boolean> ENGINE_CHECKS_FENCING = KeyDescriptor.withDefault("engine-checks-fencing",
			ValueTypes.bool(), "false",
			"Whether the engine itself refuses orders with old fencing numbers; if not, the sidecar does.");

	static final KeyDescriptor<List<HostPort>> SIDECAR_CONTROL = KeyDescriptor.required("control", CONTROL_ADDRESSES,
			"The addresses of the control instances.");

	static final KeyDescriptor<HostPort> CONTROL_LISTEN = KeyDescriptor.required("listen", ValueTypes.address(),
			"The address on which other instances connect.");

	static final KeyDescriptor<Path> DATA_FOLDER = KeyDescriptor.required("data-folder", ValueTypes.path(),
			"The folder that holds the durable state; used by one process at a time.");

	static final KeyDescriptor<String> PEER_NAME = KeyDescriptor.required("name", ValueTypes.name(),
			"The control instance's name.");

	static final KeyDescriptor<HostPort> PEER_ADDRESS = KeyDescriptor.required("address", ValueTypes.address(),
			"The address at which the others reach it.");

	static final KeyDescriptor<Path> CERTIFICATE = KeyDescriptor.required("certificate", ValueTypes.path(),
			"The file with the instance's certificate chain, PEM.");

	static final KeyDescriptor<Path> KEY = KeyDescriptor.required("key", ValueTypes.path(),
			"The file with the certificate's private key, PEM.");

	static final KeyDescriptor<Path> TRUST = KeyDescriptor.required("trust", ValueTypes.path(),
			"The file with the certificates that other instances' certificates must lead to, PEM.");

	static final TableDescriptor ADMIN = TableDescriptor.single("admin", "The admin listener.", ADMIN_LISTEN);

	static final TableDescriptor ENTRY = TableDescriptor.single("entry", "Needed by the role `entry`.", ENTRY_LISTEN,
			ENTRY_CONTROL, MAX_BODY, MAX_HEADERS, HEADER_TIMEOUT, BODY_TIMEOUT, REQUEST_TIMEOUT);

	static final TableDescriptor SIDECAR = TableDescriptor.single("sidecar", "Needed by the role `sidecar`.",
			SIDECAR_LISTEN, SERVICE, BACKEND, ENGINE_ROLE, ENGINE_CHECKS_FENCING, SIDECAR_CONTROL);

	static final TableDescriptor PEER = TableDescriptor.repeated("peer",
			"One table for each control instance, this one among them; 1 to " + MAX_CONTROL_INSTANCES + ".", PEER_NAME,
			PEER_ADDRESS);

	static final TableDescriptor CONTROL = TableDescriptor
		.single("control", "Needed by the role `control`.", CONTROL_LISTEN, DATA_FOLDER)
		.withTables(PEER);

	static final TableDescriptor TLS = TableDescriptor.single("tls",
			"Key files of all listeners and of connections between instances; without it connections are plain.",
			CERTIFICATE, KEY, TRUST);

	/** The whole document. */
	public static final TableDescriptor DOCUMENT = TableDescriptor.document("The settings of one instance.",
			List.of(NAME, ROLES, FAILURE_DOMAIN, REGION, LOG_LEVEL), List.of(ADMIN, ENTRY, SIDECAR, CONTROL, TLS));

	private SettingsKeys() {
	}

}
