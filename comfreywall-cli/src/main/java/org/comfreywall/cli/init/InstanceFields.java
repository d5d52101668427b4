package org.comfreywall.cli.init;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.settings.Role;
import org.comfreywall.common.toml.KeyDescriptor;
import org.comfreywall.common.toml.TomlField;
import org.comfreywall.common.toml.ValueTypes;

/**
 * Converts answers about an instance to TOML fields in canonical order. Fields with the
 * default value and fields of roles that the instance lacks are omitted.
 */
final class InstanceFields {

	private InstanceFields() {
	}

	static List<TomlField> of(InstanceAnswers instance) {
		List<TomlField> fields = new ArrayList<>();
		fields.add(text(AnswersKeys.NAME, instance.name()));
		fields.add(text(AnswersKeys.FAILURE_DOMAIN, instance.failureDomain()));
		fields.add(text(AnswersKeys.ADDRESS, instance.address()));
		fields.add(TomlField.of(AnswersKeys.ROLES.name(),
				instance.roles().stream().sorted().map(ValueTypes::lowerCase).toList()));
		fields.add(text(AnswersKeys.ADMIN_LISTEN, instance.adminListen()));
		if (instance.hasRole(Role.ENTRY)) {
			fields.add(TomlField.of(AnswersKeys.ENTRY_PORT.name(), instance.entryPort()));
		}
		if (instance.hasRole(Role.CONTROL)) {
			fields.add(TomlField.of(AnswersKeys.CONTROL_PORT.name(), instance.controlPort()));
			fields.add(text(AnswersKeys.DATA_FOLDER, instance.dataFolder()));
		}
		if (instance.hasRole(Role.SIDECAR)) {
			addSidecar(instance, fields);
		}
		optional(AnswersKeys.TLS_FOLDER, instance.tlsFolder()).ifPresent(fields::add);
		fields.removeIf(InstanceFields::isDefault);
		return fields;
	}

	private static void addSidecar(InstanceAnswers instance, List<TomlField> fields) {
		fields.add(TomlField.of(AnswersKeys.SIDECAR_PORT.name(), instance.sidecarPort()));
		optional(AnswersKeys.SERVICE, instance.service()).ifPresent(fields::add);
		fields.add(text(AnswersKeys.BACKEND, instance.backend()));
		fields.add(text(AnswersKeys.ENGINE_ROLE, ValueTypes.lowerCase(instance.engineRole())));
		fields.add(TomlField.of(AnswersKeys.ENGINE_CHECKS_FENCING.name(), instance.engineChecksFencing()));
	}

	private static boolean isDefault(TomlField field) {
		return AnswersKeys.INSTANCE.keys()
			.stream()
			.filter((key) -> key.name().equals(field.key()))
			.anyMatch((key) -> key.defaultLiteral().filter(field.literal()::equals).isPresent());
	}

	private static TomlField text(KeyDescriptor<?> key, Object value) {
		return TomlField.of(key.name(), value.toString());
	}

	private static Optional<TomlField> optional(KeyDescriptor<?> key, Optional<?> value) {
		return value.map((present) -> text(key, present));
	}

}
