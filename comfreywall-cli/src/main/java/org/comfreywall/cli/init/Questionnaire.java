package org.comfreywall.cli.init;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.cli.command.Console;
import org.comfreywall.common.toml.KeyDescriptor;
import org.comfreywall.common.toml.LiteralConverter;
import org.comfreywall.common.toml.TableDescriptor;
import org.comfreywall.common.toml.TomlField;
import org.comfreywall.common.toml.TomlWriter;
import org.comfreywall.common.toml.ValueTypes;

/**
 * Asks for answers on a terminal. The questions are the descriptions of the keys in
 * {@link AnswersKeys}.
 * <p>
 * An empty line accepts the proposed value in brackets. For an element of the earlier
 * answers that is the earlier answer; for a new element, the answer for the previous
 * element. Without either, the default of the key is proposed.
 */
final class Questionnaire {

	private static final int MAX_ELEMENTS = 10_000;

	private static final KeyDescriptor<List<String>> NAMES = KeyDescriptor.required("names",
			ValueTypes.listOf(ValueTypes.name(), 0, MAX_ELEMENTS),
			"The names of all elements of this section, separated by commas.");

	private final Console console;

	private final EarlierAnswers earlier;

	private final TomlWriter answers = new TomlWriter();

	Questionnaire(Console console, Answers earlier) {
		this.console = console;
		this.earlier = new EarlierAnswers(earlier);
	}

	/**
	 * Asks all questions.
	 * @return the answers in TOML; each value is valid on its own, but references between
	 * values are not checked
	 * @throws IOException if the input ends or cannot be read
	 */
	String askAll() throws IOException {
		this.console.printNote(
				"Press Enter to accept the value in brackets. Separate list items by commas; enter none for an empty list.");
		for (TableDescriptor section : AnswersKeys.DOCUMENT.tables()) {
			askSection(section);
		}
		return this.answers.toString();
	}

	private void askSection(TableDescriptor section) throws IOException {
		this.console.printNote("");
		this.console.printNote(section.name() + ": " + section.doc());
		String current = TomlField.of(NAMES.name(), this.earlier.elementNames(section.name())).literal();
		String literal = askValue(NAMES, "names", Optional.of(current)).orElse(current);
		Map<String, String> previous = new LinkedHashMap<>();
		for (String name : LiteralConverter.parseStrings(literal)) {
			previous = askElement(section, name, previous);
		}
	}

	private Map<String, String> askElement(TableDescriptor section, String name, Map<String, String> previous)
			throws IOException {
		Map<String, String> values = new LinkedHashMap<>();
		for (KeyDescriptor<?> key : section.keys()) {
			if (key.name().equals("name")) {
				values.put(key.name(), TomlField.of(key.name(), name).literal());
			}
			else {
				findAnswer(section, key, name, values, previous)
					.ifPresent((literal) -> values.put(key.name(), literal));
			}
		}
		List<TomlField> fields = new ArrayList<>();
		values.forEach((key, literal) -> fields.add(new TomlField(key, literal)));
		this.answers.tableArrayElement(section.name(), fields);
		return values;
	}

	private Optional<String> findAnswer(TableDescriptor section, KeyDescriptor<?> key, String name,
			Map<String, String> values, Map<String, String> previous) throws IOException {
		Optional<String> earlierLiteral = this.earlier.findLiteral(section.name(), name, key.name());
		if (QuestionFilter.isCarriedOver(key)) {
			return earlierLiteral;
		}
		if (!QuestionFilter.isAsked(section, key, values)) {
			return Optional.empty();
		}
		Optional<String> proposal = this.earlier.contains(section.name(), name) ? earlierLiteral
				: Optional.ofNullable(previous.get(key.name()))
					.filter((literal) -> QuestionFilter.isProposedForNext(key));
		return askValue(key, name + " " + key.name(), proposal.or(key::defaultLiteral));
	}

	private Optional<String> askValue(KeyDescriptor<?> key, String label, Optional<String> proposal)
			throws IOException {
		String suffix = proposal.map((literal) -> " [" + (literal.equals("[]") ? "none" : literal) + "]").orElse("");
		this.console.printNote("  " + key.doc());
		while (true) {
			String input = this.console.readAnswer("  " + label + suffix + ": ");
			if (input.isEmpty() && (proposal.isPresent() || !key.required())) {
				return proposal;
			}
			Optional<String> literal = LiteralConverter.toLiteral(key, input);
			if (literal.isPresent()) {
				return literal;
			}
			this.console.printNote("    not allowed; allowed: " + key.type().allowed());
		}
	}

}
