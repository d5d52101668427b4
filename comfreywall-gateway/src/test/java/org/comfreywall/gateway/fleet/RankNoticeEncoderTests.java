package org.comfreywall.gateway.fleet;

import java.util.List;
import java.util.OptionalLong;

import org.comfreywall.gateway.group.RankReport;
import org.comfreywall.transport.generated.ExpertList;
import org.comfreywall.transport.generated.RankNotice;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RankNoticeEncoder} against the generated message.
 */
class RankNoticeEncoderTests {

	private static RankReport report(OptionalLong held, List<List<Integer>> layout) {
		return new RankReport("10.0.0.1:80", "g", 3, 1, 192, true, 5_000_000_000L, 7, 8, 9, held, layout, 2.5);
	}

	private static RankNotice.Builder notice() {
		return RankNotice.newBuilder()
			.setServer("10.0.0.1:80")
			.setGroup("g")
			.setEpoch(3)
			.setRank(1)
			.setSize(192)
			.setOpen(true)
			.setStep(5_000_000_000L)
			.setMapVersion(7)
			.setPreparedVersion(8)
			.setArmedVersion(9)
			.setPace(2.5)
			.setService("service");
	}

	@Test
	void encodesAllFields() throws Exception {
		RankReport report = report(OptionalLong.of(4), List.of(List.of(0, 300), List.of(70_000)));
		byte[] encoded = RankNoticeEncoder.encode("service", report, new int[] { 0, 1, 127, 128, 70_000 });
		RankNotice expected = notice().setHeldStep(4)
			.addAllChosen(List.of(0, 1, 127, 128, 70_000))
			.addLayout(ExpertList.newBuilder().addAllExperts(List.of(0, 300)))
			.addLayout(ExpertList.newBuilder().addExperts(70_000))
			.build();
		assertThat(RankNotice.parseFrom(encoded)).isEqualTo(expected);
	}

	@Test
	void encodesAReportWithoutCountsHeldStepAndLayout() throws Exception {
		byte[] encoded = RankNoticeEncoder.encode("service", report(OptionalLong.empty(), List.of()), new int[0]);
		assertThat(RankNotice.parseFrom(encoded)).isEqualTo(notice().setHeldStep(-1).build());
	}

}
