package org.comfreywall.group.page;

import java.util.List;
import java.util.stream.Collectors;

import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.util.Preconditions;

/**
 * Renders the HTML page of one group: charts of step-time skew and bytes read, and a
 * table of placement decisions with their inputs. The page references no external
 * resources.
 */
public final class GroupPage {

	private static final double MEBIBYTE = 1L << 20;

	private static final String STYLE = "body{font:14px sans-serif;max-width:60em;margin:2em auto;padding:0 1em}"
			+ "svg{width:100%;font:11px sans-serif}.grid{stroke:#ddd}polyline{fill:none;stroke-width:1.5}"
			+ ".skew{stroke:#1f5fa8}.bound{stroke:#888;stroke-dasharray:4 3}.bytes{fill:#b8651b}"
			+ "table{border-collapse:collapse}td,th{border-bottom:1px solid #ddd;padding:.3em .6em;text-align:left}";

	private GroupPage() {
	}

	/**
	 * Renders the page.
	 * @param group the group
	 * @param samples the samples of the charts, oldest first
	 * @param plans the decisions of the table, oldest first
	 * @return the page as HTML
	 */
	public static String render(GroupId group, List<PageSample> samples, List<PagePlan> plans) {
		Preconditions.notNull(group, "group");
		Preconditions.notNull(samples, "samples");
		Preconditions.notNull(plans, "plans");
		String name = Html.escape(group.toString());
		return "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n<title>Group " + name
				+ "</title>\n<style>" + STYLE + "</style>\n</head>\n<body>\n<h1>Group " + name + "</h1>\n"
				+ "<h2>Step-time skew</h2>\n<p>Slowest rank over mean; dashed: lower bound.</p>\n" + skewChart(samples)
				+ "<h2>Read from the weight store (MiB)</h2>\n" + bytesChart(samples) + "<h2>Plans</h2>\n"
				+ planTable(plans) + "</body>\n</html>\n";
	}

	private static String skewChart(List<PageSample> samples) {
		double max = samples.stream().mapToDouble(PageSample::skew).max().orElse(1);
		return new Chart("Step-time skew", samples, 1, max).line("bound", PageSample::skewBound)
			.line("skew", PageSample::skew)
			.toSvg();
	}

	private static String bytesChart(List<PageSample> samples) {
		double max = samples.stream().mapToDouble(GroupPage::mebibytes).max().orElse(0);
		return new Chart("Bytes read", samples, 0, max).bars("bytes", GroupPage::mebibytes).toSvg();
	}

	private static double mebibytes(PageSample sample) {
		return sample.bytes() / MEBIBYTE;
	}

	private static String planTable(List<PagePlan> plans) {
		String rows = plans.stream().map(GroupPage::planRow).collect(Collectors.joining());
		return "<table>\n<tr><th>Time</th><th>Result</th><th>Inputs</th></tr>\n" + rows + "</table>\n";
	}

	private static String planRow(PagePlan plan) {
		String inputs = plan.record()
			.inputs()
			.stream()
			.map((field) -> field.key() + "=" + field.value())
			.collect(Collectors.joining(" "));
		return "<tr><td>" + Html.escape(plan.at().toString()) + "</td><td>" + Html.escape(plan.record().result())
				+ "</td><td>" + Html.escape(inputs) + "</td></tr>\n";
	}

}
