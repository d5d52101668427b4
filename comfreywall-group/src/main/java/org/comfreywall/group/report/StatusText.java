package org.comfreywall.group.report;

import java.util.Locale;

import org.comfreywall.group.life.RankView;
import org.comfreywall.group.mapswitch.MapBoundary;

/**
 * Formats a group's status as lines of text.
 */
final class StatusText {

	private static final String ROW = "  %4s  %-24s %11s  %-9s  %-17s %10s";

	private StatusText() {
	}

	static String format(GroupStatus status) {
		StringBuilder text = new StringBuilder();
		appendLine(text, "group " + status.group() + "  " + displayName(status.state()) + "  ranks "
				+ status.ranks().size() + "  spares " + status.spares());
		appendLine(text, mapLine(status));
		appendLine(text, "");
		appendLine(text,
				String.format(Locale.ROOT, ROW, "rank", "server", "incarnation", "health", "activity", "step"));
		status.ranks().forEach((rank) -> appendLine(text, row(rank)));
		appendLine(text, "");
		appendLine(text, "step-time skew (slowest over mean)  " + HistogramText.summary(status.skew()));
		return text.append(HistogramText.draw(status.skew())).toString();
	}

	private static String mapLine(GroupStatus status) {
		String map = status.map().map(StatusText::mapText).orElse("map none");
		return map + "  switch " + displayName(status.phase());
	}

	private static String mapText(MapBoundary boundary) {
		return "map " + boundary.map() + " from step " + boundary.firstStep();
	}

	private static String row(RankView rank) {
		String server = rank.member().map((member) -> member.server().value()).orElse("-");
		String incarnation = rank.member().map((member) -> member.incarnation().toString()).orElse("-");
		String step = (rank.step() >= 0) ? Long.toString(rank.step()) : "-";
		return String.format(Locale.ROOT, ROW, rank.rank(), server, incarnation, displayName(rank.health()),
				displayName(rank.activity()), step);
	}

	private static String displayName(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static void appendLine(StringBuilder text, String line) {
		text.append(line.stripTrailing()).append('\n');
	}

}
