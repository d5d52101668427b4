package org.comfreywall.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.Random;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventFramer}.
 */
class EventFramerTests {

	private final EventFramer framer = new EventFramer();

	private String take(String text) {
		return this.framer.feed(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)).toString(StandardCharsets.UTF_8);
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: piece " + id + "\n\n";
	}

	@Test
	void returnsAnEventOnlyWhenItIsComplete() {
		assertThat(take("id: 1\nda")).isEmpty();
		assertThat(take("ta: x\n\nid: 2")).isEqualTo("id: 1\ndata: x\n\n");
		assertThat(this.framer.lastId()).hasValue(1);
	}

	@Test
	void discardsAPartialEventAndResumesWithTheNextServer() {
		String first = take(event(1) + "id: 2\ndata: pi");
		this.framer.discardPartialEvent();
		String second = take(event(2) + event(3));
		assertThat(first + second).isEqualTo(event(1) + event(2) + event(3));
	}

	@Test
	void skipsEventsThatTheCallerHasReceived() {
		take(event(1) + event(2));
		this.framer.discardPartialEvent();
		assertThat(take(event(1) + event(2) + event(3))).isEqualTo(event(3));
	}

	@Test
	void returnsTheSameEventsHoweverTheBytesAreSplit() {
		StringBuilder all = new StringBuilder();
		for (int id = 0; id < 40; id++) {
			all.append(event(id));
		}
		Random random = new Random(11);
		for (int run = 0; run < 20; run++) {
			EventFramer split = new EventFramer();
			StringBuilder out = new StringBuilder();
			int position = 0;
			while (position < all.length()) {
				int end = Math.min(all.length(), position + 1 + random.nextInt(30));
				out.append(split.feed(Unpooled.copiedBuffer(all.substring(position, end), StandardCharsets.UTF_8))
					.toString(StandardCharsets.UTF_8));
				position = end;
			}
			assertThat(out).hasToString(all.toString());
		}
	}

	@Test
	void asksAgainForTheEventThatAResumedStreamLeftOut() {
		take(event(1) + event(2) + event(3));
		this.framer.discardPartialEvent();
		assertThat(take(event(5) + event(4))).isEmpty();
		assertThat(this.framer.isEventSkipped()).isTrue();
		assertThat(this.framer.lastId()).hasValue(3);
		this.framer.discardPartialEvent();
		assertThat(take(event(4) + event(5))).isEqualTo(event(4) + event(5));
		assertThat(this.framer.isEventSkipped()).isFalse();
	}

}
