package org.comfreywall.cli;

import java.util.Iterator;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import org.comfreywall.common.toml.NearestName;

/**
 * Rejects unknown options and surplus positional arguments before JCommander parses them.
 * JCommander would treat a misspelt option as a positional argument and silently drop
 * surplus ones.
 */
final class ArgumentValidator {

	private final List<ParameterDescription> options;

	private final int maxPositionals;

	ArgumentValidator(JCommander command) {
		this.options = command.getParameters();
		this.maxPositionals = maxPositionals(Optional.ofNullable(command.getMainParameterValue()));
	}

	/**
	 * Checks the arguments of a command.
	 * @param arguments the arguments after the command's name
	 * @throws ParameterException if an option is unknown or there are too many positional
	 * arguments
	 */
	void validate(List<String> arguments) {
		int positionals = 0;
		Iterator<String> remaining = arguments.iterator();
		while (remaining.hasNext()) {
			String argument = remaining.next();
			if (!argument.startsWith("-")) {
				positionals++;
				checkPositional(argument, positionals);
			}
			else if (takesValue(argument) && remaining.hasNext()) {
				remaining.next();
			}
		}
	}

	private void checkPositional(String argument, int number) {
		if (number > this.maxPositionals) {
			throw new ParameterException(
					"\"" + argument + "\" exceeds the number of positional arguments of this command");
		}
	}

	private boolean takesValue(String option) {
		Optional<ParameterDescription> description = this.options.stream()
			.filter((candidate) -> names(candidate).contains(option))
			.findFirst();
		Class<?> type = description.orElseThrow(() -> unknownOption(option)).getParameterized().getType();
		return type != boolean.class;
	}

	private ParameterException unknownOption(String option) {
		List<String> names = this.options.stream().flatMap((candidate) -> names(candidate).stream()).toList();
		String suggestion = NearestName.find(option, names)
			.map((near) -> "; did you mean \"" + near + "\"?")
			.orElse("");
		return new ParameterException("unknown option \"" + option + "\"" + suggestion);
	}

	private static int maxPositionals(Optional<ParameterDescription> positional) {
		return positional
			.map((description) -> (description.getParameterized().getType() == List.class) ? Integer.MAX_VALUE : 1)
			.orElse(0);
	}

	private static List<String> names(ParameterDescription description) {
		return List.of(description.getParameter().names());
	}

}
