package org.comfreywall.cli;

import java.util.Iterator;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import org.comfreywall.common.toml.NearestName;

/**
 * Refuses options that a command does not have; JCommander would take them for names.
 */
final class OptionCheck {

	private final List<ParameterDescription> known;

	OptionCheck(JCommander command) {
		this.known = command.getParameters();
	}

	/**
	 * Checks a command's arguments.
	 * @param arguments the arguments after the command's name
	 * @throws ParameterException if one looks like an option but is none
	 */
	void check(List<String> arguments) {
		Iterator<String> remaining = arguments.iterator();
		while (remaining.hasNext()) {
			String argument = remaining.next();
			if (argument.startsWith("-") && takesValue(argument) && remaining.hasNext()) {
				remaining.next();
			}
		}
	}

	private boolean takesValue(String option) {
		Optional<ParameterDescription> description = this.known.stream()
			.filter((candidate) -> names(candidate).contains(option))
			.findFirst();
		Class<?> type = description.orElseThrow(() -> unknown(option)).getParameterized().getType();
		return type != boolean.class;
	}

	private ParameterException unknown(String option) {
		List<String> names = this.known.stream().flatMap((candidate) -> names(candidate).stream()).toList();
		String suggestion = NearestName.find(option, names)
			.map((near) -> "; did you mean \"" + near + "\"?")
			.orElse("");
		return new ParameterException("\"" + option + "\" is not an option of this command" + suggestion);
	}

	private static List<String> names(ParameterDescription description) {
		return List.of(description.getParameter().names());
	}

}
