package org.comfreywall.group.page;

import java.io.StringReader;
import java.time.Instant;
import java.util.List;

import javax.xml.parsers.DocumentBuilderFactory;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.GroupId;
import org.junit.jupiter.api.Test;
import org.w3c.dom.Document;
import org.xml.sax.InputSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GroupPage}.
 */
class GroupPageTests {

	private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

	@Test
	void drawsOnePointPerSample() throws Exception {
		List<PageSample> samples = List.of(new PageSample(START, 1.2, 1, 0),
				new PageSample(START.plusSeconds(300), 1.1, 1, 42 << 20));
		Document page = parse(GroupPage.render(GroupId.of("g"), samples, List.of()));
		assertThat(page.getElementsByTagName("svg").getLength()).isEqualTo(2);
		assertThat(page.getElementsByTagName("rect").getLength()).isEqualTo(1);
		assertThat(page.getElementsByTagName("polyline").item(1).getAttributes().getNamedItem("points").getNodeValue())
			.hasSize("70.0,12.0 485.0,104.0".length())
			.startsWith("70.0,12.0 485.0,104.0");
	}

	@Test
	void listsPlansWithTheirInputs() throws Exception {
		DecisionRecord record = DecisionRecord.of(DecisionKind.REBALANCE, "g", "refused",
				Field.of("reason", "too-dear"));
		Document page = parse(GroupPage.render(GroupId.of("g"), List.of(), List.of(new PagePlan(START, record))));
		assertThat(page.getElementsByTagName("td").item(2).getTextContent()).isEqualTo("reason=too-dear");
	}

	@Test
	void escapesTextAndReferencesNoExternalResources() throws Exception {
		String page = GroupPage.render(GroupId.of("<b>\"x\"&"), List.of(), List.of());
		assertThat(parse(page).getElementsByTagName("h1").item(0).getTextContent()).isEqualTo("Group <b>\"x\"&");
		assertThat(page).doesNotContain("src=").doesNotContain("href=").doesNotContain("@import");
	}

	private static Document parse(String page) throws Exception {
		String xml = page.replace("<!DOCTYPE html>", "").replace("<meta charset=\"utf-8\">", "");
		return DocumentBuilderFactory.newInstance()
			.newDocumentBuilder()
			.parse(new InputSource(new StringReader(xml.strip())));
	}

}
