package org.comfreywall.cli.init;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.cli.command.Console;
import org.comfreywall.common.toml.KeyDescriptor;
import org.comfreywall.common.toml.LiteralInput;
import org.comfreywall.common.toml.TableDescriptor;
import org.comfreywall.common.toml.TomlField;
import org.comfreywall.common.toml.TomlWriter;
import org.comfreywall.common.toml.ValueTypes;

/**
 * Asks for answers on a terminal; the questions come from the descriptors of the answers.
 * <p>
 * An empty line takes the value in brackets: the earlier answer, else the answer about
 * the element before, else the default.
 */
final class Questionnaire {

	private static final int GREATEST_ELEMENTS = 10_000;

	private static final KeyDescriptor<List<String>> NAMES = KeyDescriptor.required("names",
			ValueTypes.listOf(ValueTypes.name(), 0, GREATEST_ELEMENTS), "Their names.");

	private final Console console;

	private final AnswerTables earlier;

	private final TomlWriter answers = new TomlWriter();

	Questionnaire(Console console, Answers earlier) {
		this.console = console;
		this.earlier = new AnswerTables(earlier);
	}

	/**
	 * Asks all questions.
	 * @return the answers in TOML, each allowed by itself
	 * @throws IOException if the input ends or cannot be read
	 */
	String ask() throws IOException {
		this.console
			.note("An empty line takes the value in brackets. Lists are separated by commas; none is an empty list.");
		for (TableDescriptor section : AnswersKeys.DOCUMENT.tables()) {
			askSection(section);
		}
		return this.answers.toString();
	}

	private void askSection(TableDescriptor section) throws IOException {
		this.console.note("");
		this.console.note(section.name() + ": " + section.doc());
		String present = TomlField.of(NAMES.name(), this.earlier.names(section.name())).literal();
		String literal = askValue(NAMES, "names", Optional.of(present)).orElse(present);
		Map<String, String> before = new LinkedHashMap<>();
		for (String name : LiteralInput.texts(literal)) {
			before = askElement(section, name, before);
		}
	}

	private Map<String, String> askElement(TableDescriptor section, String name, Map<String, String> before)
			throws IOException {
		Map<String, String> values = new LinkedHashMap<>();
		for (KeyDescriptor<?> key : section.keys()) {
			if (key.name().equals("name")) {
				values.put(key.name(), TomlField.of(key.name(), name).literal());
			}
			else {
				answer(section, key, name, values, before).ifPresent((literal) -> values.put(key.name(), literal));
			}
		}
		List<TomlField> fields = new ArrayList<>();
		values.forEach((key, literal) -> fields.add(new TomlField(key, literal)));
		this.answers.element(section.name(), fields);
		return values;
	}

	private Optional<String> answer(TableDescriptor section, KeyDescriptor<?> key, String name,
			Map<String, String> values, Map<String, String> before) throws IOException {
		Optional<String> earlierLiteral = this.earlier.literal(section.name(), name, key.name());
		if (QuestionFilter.isKept(key)) {
			return earlierLiteral;
		}
		if (!QuestionFilter.isAsked(section, key, values)) {
			return Optional.empty();
		}
		Optional<String> proposal = this.earlier.contains(section.name(), name) ? earlierLiteral
				: Optional.ofNullable(before.get(key.name())).filter((literal) -> QuestionFilter.isShared(key));
		return askValue(key, name + " " + key.name(), proposal.or(key::defaultLiteral));
	}

	private Optional<String> askValue(KeyDescriptor<?> key, String label, Optional<String> proposal)
			throws IOException {
		String shown = proposal.map((literal) -> " [" + (literal.equals("[]") ? "none" : literal) + "]").orElse("");
		this.console.note("  " + key.doc());
		while (true) {
			String input = this.console.ask("  " + label + shown + ": ");
			if (input.isEmpty() && (proposal.isPresent() || !key.required())) {
				return proposal;
			}
			Optional<String> literal = LiteralInput.literal(key, input);
			if (literal.isPresent()) {
				return literal;
			}
			this.console.note("    not allowed; allowed: " + key.type().allowed());
		}
	}

}
