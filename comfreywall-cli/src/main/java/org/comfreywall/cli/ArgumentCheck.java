package org.comfreywall.cli;

import java.util.Iterator;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import org.comfreywall.common.toml.NearestName;

/**
 * Refuses arguments that a command does not have; JCommander would take misspelt options
 * for names and drop surplus names.
 */
final class ArgumentCheck {

	private final List<ParameterDescription> known;

	private final int greatestNames;

	ArgumentCheck(JCommander command) {
		this.known = command.getParameters();
		this.greatestNames = greatestNames(Optional.ofNullable(command.getMainParameterValue()));
	}

	/**
	 * Checks a command's arguments.
	 * @param arguments the arguments after the command's name
	 * @throws ParameterException if one looks like an option but is none, or a name is
	 * surplus
	 */
	void check(List<String> arguments) {
		int names = 0;
		Iterator<String> remaining = arguments.iterator();
		while (remaining.hasNext()) {
			String argument = remaining.next();
			if (!argument.startsWith("-")) {
				names++;
				checkName(argument, names);
			}
			else if (takesValue(argument) && remaining.hasNext()) {
				remaining.next();
			}
		}
	}

	private void checkName(String argument, int number) {
		if (number > this.greatestNames) {
			throw new ParameterException("\"" + argument + "\" is one name too many for this command");
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

	private static int greatestNames(Optional<ParameterDescription> names) {
		return names
			.map((description) -> (description.getParameterized().getType() == List.class) ? Integer.MAX_VALUE : 1)
			.orElse(0);
	}

	private static List<String> names(ParameterDescription description) {
		return List.of(description.getParameter().names());
	}

}
