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
		line(text, "group " + status.group() + "  " + lower(status.state()) + "  ranks " + status.ranks().size()
				+ "  spares " + status.spares());
		line(text, map(status));
		line(text, "");
		line(text, String.format(Locale.ROOT, ROW, "rank", "server", "incarnation", "health", "activity", "step"));
		status.ranks().forEach((rank) -> line(text, row(rank)));
		line(text, "");
		line(text, "step-time skew (slowest over mean)  " + HistogramText.summary(status.skew()));
		return text.append(HistogramText.draw(status.skew())).toString();
	}

	private static String map(GroupStatus status) {
		String map = status.map().map(StatusText::map).orElse("map none");
		return map + "  switch " + lower(status.phase());
	}

	private static String map(MapBoundary boundary) {
		return "map " + boundary.map() + " from step " + boundary.firstStep();
	}

	private static String row(RankView rank) {
		String server = rank.member().map((member) -> member.server().value()).orElse("-");
		String incarnation = rank.member().map((member) -> member.incarnation().toString()).orElse("-");
		String step = (rank.step() >= 0) ? Long.toString(rank.step()) : "-";
		return String.format(Locale.ROOT, ROW, rank.rank(), server, incarnation, lower(rank.health()),
				lower(rank.activity()), step);
	}

	private static String lower(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static void line(StringBuilder text, String line) {
		text.append(line.stripTrailing()).append('\n');
	}

}
