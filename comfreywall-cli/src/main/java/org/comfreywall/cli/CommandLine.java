package org.comfreywall.cli;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.MissingCommandException;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.check.CheckCommand;
import org.comfreywall.cli.command.ApplyCommand;
import org.comfreywall.cli.command.Command;
import org.comfreywall.cli.command.Console;
import org.comfreywall.cli.command.DrainCommand;
import org.comfreywall.cli.command.ExitCode;
import org.comfreywall.cli.command.ExplainCommand;
import org.comfreywall.cli.command.GetCommand;
import org.comfreywall.cli.command.HistoryCommand;
import org.comfreywall.cli.command.Report;
import org.comfreywall.cli.command.ReportCommand;
import org.comfreywall.cli.command.StatusCommand;
import org.comfreywall.cli.init.InitCommand;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.toml.NearestName;

/**
 * Parses one command line, runs its command and prints the report or the error.
 */
final class CommandLine {

	private static final String PROGRAM = "comfreywall";

	private static final String EXIT_CODES = "  Exit codes: 0 success, 1 rejected or failed, 2 invalid command line,"
			+ " 3 daemon unreachable, 4 another change was accepted first";

	@Parameter(names = { "--help", "-h" }, help = true, description = "Print this help")
	private boolean help;

	private final Map<String, Command> commands = new LinkedHashMap<>();

	private final Console console;

	private final JCommander commander;

	private Optional<String> commandName = Optional.empty();

	CommandLine(Console console) {
		this.console = console;
		this.commands.put("init", new InitCommand());
		this.commands.put("check", new CheckCommand());
		this.commands.put("apply", new ApplyCommand());
		this.commands.put("get", new GetCommand());
		this.commands.put("status", new StatusCommand());
		this.commands.put("report", new ReportCommand());
		this.commands.put("drain", new DrainCommand());
		this.commands.put("explain", new ExplainCommand());
		this.commands.put("history", new HistoryCommand());
		this.commander = JCommander.newBuilder().programName(PROGRAM).addObject(this).build();
		this.commander.setExpandAtSign(false);
		this.commands.forEach(this.commander::addCommand);
	}

	ExitCode run(String... args) {
		try {
			checkArguments(List.of(args));
			this.commander.parse(args);
			return dispatch();
		}
		catch (MissingCommandException ex) {
			return usageError(
					"unknown command \"" + ex.getUnknownCommand() + "\"" + suggestion(ex.getUnknownCommand()));
		}
		catch (ParameterException ex) {
			return usageError(ex.getMessage());
		}
	}

	private void checkArguments(List<String> args) {
		if (!args.isEmpty() && this.commands.containsKey(args.get(0))) {
			this.commandName = Optional.of(args.get(0));
			JCommander command = this.commander.getCommands().get(args.get(0));
			new ArgumentValidator(command).validate(args.subList(1, args.size()));
		}
	}

	private ExitCode dispatch() {
		String name = this.commander.getParsedCommand();
		if (name == null) {
			return this.help ? printHelp(Optional.empty()) : usageError("a command is required");
		}
		Command command = this.commands.get(name);
		if (this.help || command.options().help()) {
			return printHelp(Optional.of(name));
		}
		return print(command.run(this.console), command.options().json());
	}

	private ExitCode printHelp(Optional<String> command) {
		StringBuilder text = new StringBuilder();
		command.ifPresentOrElse((name) -> this.commander.getUsageFormatter().usage(name, text),
				() -> appendCommands(text));
		this.console.out().println(text.toString().stripTrailing());
		this.console.out().println(EXIT_CODES);
		return ExitCode.OK;
	}

	private void appendCommands(StringBuilder text) {
		text.append("Usage: ").append(PROGRAM).append(" COMMAND [options]\n  Commands:\n");
		this.commands.keySet()
			.forEach((name) -> text.append(String.format("    %-8s  %s%n", name,
					this.commander.getUsageFormatter().getCommandDescription(name))));
		text.append("  ").append(PROGRAM).append(" COMMAND --help lists the options of a command.");
	}

	private ExitCode usageError(String message) {
		String command = this.commandName.map((name) -> " " + name).orElse("");
		this.console.printNote("error: " + message);
		this.console.printNote("next: see " + PROGRAM + command + " --help");
		return ExitCode.USAGE;
	}

	private String suggestion(String name) {
		return NearestName.find(name, this.commands.keySet())
			.map((near) -> "; did you mean \"" + near + "\"?")
			.orElse("");
	}

	private ExitCode print(Result<Report> result, boolean json) {
		Optional<OperationError> error = result.error();
		if (error.isPresent()) {
			return printError(error.get(), json);
		}
		Report report = result.value().orElseThrow();
		if (json) {
			JsonObject object = report.json().copy().put("exitCode", report.exit().number());
			this.console.out().println(object.encodePrettily());
		}
		else {
			report.lines().forEach(this.console.out()::println);
		}
		return report.exit();
	}

	private ExitCode printError(OperationError error, boolean json) {
		ExitCode exit = ExitCode.of(error.code());
		if (json) {
			this.console.out().println(ErrorFormatter.json(error, exit).encodePrettily());
		}
		else {
			ErrorFormatter.lines(error).forEach(this.console::printNote);
		}
		return exit;
	}

}
