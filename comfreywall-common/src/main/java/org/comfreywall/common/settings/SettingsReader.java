package org.comfreywall.common.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.toml.Problems;
import org.comfreywall.common.toml.TomlTable;
import org.comfreywall.common.util.Preconditions;

/**
 * Reads and validates an instance's settings in TOML.
 */
public final class SettingsReader {

	private SettingsReader() {
	}

	/**
	 * Reads the settings in a file.
	 * @param file the file
	 * @return the settings, or an error with one line per problem, each with the file,
	 * key, value and allowed values
	 */
	public static Result<InstanceSettings> read(Path file) {
		Preconditions.notNull(file, "file");
		try {
			return parse(file.toString(), Files.readString(file));
		}
		catch (IOException ex) {
			return Result.failure(
					OperationError.local(ErrorCode.NOT_FOUND, Step.SETTINGS, file + ": cannot be read as UTF-8 text ("
							+ ex.getClass().getSimpleName() + "); check that the file exists and is readable"));
		}
	}

	/**
	 * Reads settings from text.
	 * @param file the name of the file that the text is from
	 * @param text the settings in TOML
	 * @return the settings, or an error with one line per problem, each with the file,
	 * key, value and allowed values
	 */
	public static Result<InstanceSettings> parse(String file, String text) {
		Problems problems = new Problems(file);
		Optional<TomlTable> document = TomlTable.parse(text, SettingsKeys.DOCUMENT, problems);
		document.ifPresent((root) -> new SettingsRules(problems).validate(root));
		if (!problems.isEmpty()) {
			return Result.failure(problems.toError(Step.SETTINGS));
		}
		return Result.success(settings(document.orElseThrow()));
	}

	private static InstanceSettings settings(TomlTable root) {
		return new InstanceSettings(InstanceId.of(root.value(SettingsKeys.NAME)),
				Set.copyOf(root.value(SettingsKeys.ROLES)), FailureDomainId.of(root.value(SettingsKeys.FAILURE_DOMAIN)),
				root.value(SettingsKeys.REGION), root.value(SettingsKeys.LOG_LEVEL),
				admin(root.tableOrDefaults(SettingsKeys.ADMIN)),
				root.table(SettingsKeys.ENTRY).map(SettingsReader::entry),
				root.table(SettingsKeys.SIDECAR).map(SettingsReader::sidecar),
				root.table(SettingsKeys.CONTROL).map(SettingsReader::control),
				root.table(SettingsKeys.TLS).map(SettingsReader::tls));
	}

	private static AdminSettings admin(TomlTable table) {
		return new AdminSettings(table.value(SettingsKeys.ADMIN_LISTEN));
	}

	private static EntrySettings entry(TomlTable table) {
		return new EntrySettings(table.value(SettingsKeys.ENTRY_LISTEN), table.value(SettingsKeys.ENTRY_CONTROL),
				table.value(SettingsKeys.MAX_BODY), Math.toIntExact(table.value(SettingsKeys.MAX_HEADERS)),
				table.value(SettingsKeys.HEADER_TIMEOUT), table.value(SettingsKeys.BODY_TIMEOUT),
				table.value(SettingsKeys.REQUEST_TIMEOUT));
	}

	private static SidecarSettings sidecar(TomlTable table) {
		return new SidecarSettings(table.value(SettingsKeys.SIDECAR_LISTEN),
				ServiceId.of(table.value(SettingsKeys.SERVICE)), table.value(SettingsKeys.BACKEND),
				table.value(SettingsKeys.ENGINE_ROLE), table.value(SettingsKeys.ENGINE_CHECKS_FENCING),
				table.value(SettingsKeys.SIDECAR_CONTROL));
	}

	private static ControlSettings control(TomlTable table) {
		return new ControlSettings(table.value(SettingsKeys.CONTROL_LISTEN), table.value(SettingsKeys.DATA_FOLDER),
				table.tables(SettingsKeys.PEER).stream().map(SettingsReader::peer).toList());
	}

	private static PeerSettings peer(TomlTable table) {
		return new PeerSettings(InstanceId.of(table.value(SettingsKeys.PEER_NAME)),
				table.value(SettingsKeys.PEER_ADDRESS));
	}

	private static TlsSettings tls(TomlTable table) {
		return new TlsSettings(table.value(SettingsKeys.CERTIFICATE), table.value(SettingsKeys.KEY),
				table.value(SettingsKeys.TRUST));
	}

}
