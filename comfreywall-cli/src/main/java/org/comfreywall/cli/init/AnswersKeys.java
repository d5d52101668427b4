package org.comfreywall.cli.init;

import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

import org.comfreywall.common.config.toml.ConfigurationKeys;
import org.comfreywall.common.settings.EngineRole;
import org.comfreywall.common.settings.Role;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.toml.KeyDescriptor;
import org.comfreywall.common.toml.TableDescriptor;
import org.comfreywall.common.toml.ValueType;
import org.comfreywall.common.toml.ValueTypes;

/**
 * Schema of an answers file: the sections of a configuration and the instances. The
 * descriptions of the keys are the questions of {@code init}.
 */
public final class AnswersKeys {

	private static final int MAX_PORT = 65535;

	private static final ValueType<String> IP_ADDRESS = ValueTypes.pattern("IP address",
			Pattern.compile("localhost|[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-f:]{2,39}"),
			"an IP address without a port, or localhost");

	private static final ValueType<Integer> PORT = ValueTypes.integer(1, MAX_PORT).map(Long::intValue);

	static final KeyDescriptor<String> NAME = KeyDescriptor.required("name", ValueTypes.name(), "The instance's name.");

	static final KeyDescriptor<String> FAILURE_DOMAIN = KeyDescriptor.required("failure-domain", ValueTypes.name(),
			"The failure domain of the instance.");

	static final KeyDescriptor<String> ADDRESS = KeyDescriptor.required("address", IP_ADDRESS,
			"The IP address at which other instances reach this one.");

	static final KeyDescriptor<List<Role>> ROLES = KeyDescriptor.required("roles",
			ValueTypes.listOf(ValueTypes.oneOf(Role.class), 1, Role.values().length),
			"The roles of the instance, such as entry, control.");

	static final KeyDescriptor<HostPort> ADMIN_LISTEN = KeyDescriptor.withDefault("admin-listen", ValueTypes.address(),
			"\"127.0.0.1:9901\"", "The address and port of its admin API.");

	static final KeyDescriptor<Integer> ENTRY_PORT = KeyDescriptor.withDefault("entry-port", PORT, "8080",
			"The port on which its entry role receives callers' requests.");

	static final KeyDescriptor<Integer> SIDECAR_PORT = KeyDescriptor.withDefault("sidecar-port", PORT, "7300",
			"The port on which entries connect to its sidecar role.");

	static final KeyDescriptor<Integer> CONTROL_PORT = KeyDescriptor.withDefault("control-port", PORT, "7400",
			"The port on which other instances connect to its control role.");

	static final KeyDescriptor<Path> DATA_FOLDER = KeyDescriptor.withDefault("data-folder", ValueTypes.path(),
			"\"/var/lib/comfreywall\"", "The folder for the durable state of its control role.");

	static final KeyDescriptor<String> SERVICE = KeyDescriptor.optional("service", ValueTypes.name(),
			"The service that its backend server provides.");

	static final KeyDescriptor<URI> BACKEND = KeyDescriptor.withDefault("backend", ValueTypes.httpUrl(),
			"\"http://127.0.0.1:8000\"", "The base URL of its backend server.");

	static final KeyDescriptor<EngineRole> ENGINE_ROLE = KeyDescriptor.withDefault("engine-role",
			ValueTypes.oneOf(EngineRole.class), "\"mixed\"",
			"The engine role of the backend server: which phase of requests it runs.");

	static final KeyDescriptor<Boolean> ENGINE_CHECKS_FENCING = KeyDescriptor.withDefault("engine-checks-fencing",
			ValueTypes.bool(), "false", "Whether the engine rejects orders with outdated fencing numbers.");

	static final KeyDescriptor<Path> TLS_FOLDER = KeyDescriptor.optional("tls-folder", ValueTypes.path(),
			"The folder with certificate.pem, key.pem and trust.pem; without it, connections are unencrypted.");

	/** The name of the instance tables, which no other kind of document has. */
	public static final String INSTANCE_SECTION = "instance";

	static final TableDescriptor INSTANCE = TableDescriptor.repeated(INSTANCE_SECTION, "One daemon.", NAME,
			FAILURE_DOMAIN, ADDRESS, ROLES, ADMIN_LISTEN, ENTRY_PORT, SIDECAR_PORT, CONTROL_PORT, DATA_FOLDER, SERVICE,
			BACKEND, ENGINE_ROLE, ENGINE_CHECKS_FENCING, TLS_FOLDER);

	/** The schema of the whole document. */
	public static final TableDescriptor DOCUMENT = TableDescriptor.document("Answers to the questionnaire.", List.of(),
			sections());

	private AnswersKeys() {
	}

	private static List<TableDescriptor> sections() {
		List<TableDescriptor> sections = new ArrayList<>(ConfigurationKeys.DOCUMENT.tables());
		sections.add(INSTANCE);
		return sections;
	}

}
