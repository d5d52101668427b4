package org.comfreywall.cli.init;

import java.util.Map;
import java.util.Set;

import org.comfreywall.common.settings.Role;
import org.comfreywall.common.toml.KeyDescriptor;
import org.comfreywall.common.toml.TableDescriptor;
import org.comfreywall.common.toml.ValueTypes;

/**
 * Decides which questions are asked and which answers are proposed for the next element.
 */
final class QuestionFilter {

	private static final String KEY_HASHES = "key-hashes";

	private static final Map<String, Role> REQUIRED_ROLES = Map.of(AnswersKeys.ENTRY_PORT.name(), Role.ENTRY,
			AnswersKeys.SIDECAR_PORT.name(), Role.SIDECAR, AnswersKeys.SERVICE.name(), Role.SIDECAR,
			AnswersKeys.BACKEND.name(), Role.SIDECAR, AnswersKeys.ENGINE_ROLE.name(), Role.SIDECAR,
			AnswersKeys.ENGINE_CHECKS_FENCING.name(), Role.SIDECAR, AnswersKeys.CONTROL_PORT.name(), Role.CONTROL,
			AnswersKeys.DATA_FOLDER.name(), Role.CONTROL);

	private static final Set<String> UNIQUE_KEYS = Set.of(AnswersKeys.ADDRESS.name(), "path-prefix",
			"idempotent-requests");

	private QuestionFilter() {
	}

	static boolean isCarriedOver(KeyDescriptor<?> key) {
		return key.name().equals(KEY_HASHES);
	}

	static boolean isAsked(TableDescriptor section, KeyDescriptor<?> key, Map<String, String> answers) {
		if (!section.name().equals(AnswersKeys.INSTANCE_SECTION) || !REQUIRED_ROLES.containsKey(key.name())) {
			return true;
		}
		String role = "\"" + ValueTypes.lowerCase(REQUIRED_ROLES.get(key.name())) + "\"";
		return answers.getOrDefault(AnswersKeys.ROLES.name(), "").contains(role);
	}

	static boolean isProposedForNext(KeyDescriptor<?> key) {
		return !UNIQUE_KEYS.contains(key.name());
	}

}
