package org.comfreywall.common.stream;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventBoundary}.
 */
class EventBoundaryTests {

	private static boolean endsWithinEvent(String stream) {
		return boundaryAfter(stream).isBrokenOff(true);
	}

	private static EventBoundary boundaryAfter(String stream) {
		EventBoundary boundary = new EventBoundary();
		for (byte next : stream.getBytes(StandardCharsets.UTF_8)) {
			boundary.accept(next);
		}
		return boundary;
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "\n", "data: a\n\n", "data: a\r\n\r\n", "data: a\r\r", "data: a\n\r\n",
			"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "data: a\n\n\n", ": ping\n", "data: a\n\n: ping\n", ": ping\n\n" })
	void aStreamMayEndAfterAnEventOrAComment(String stream) {
		assertThat(endsWithinEvent(stream)).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "i", "id: 1", "id: 1\n", "data: a\n", "data: a\r\n", "data: a\r", "data: a\n\ndata: b\n",
			"data: a\n: ping\n", ": pi", "data: a\n\n: pi", "data: a\r\n\r" })
	void aStreamIsBrokenOffWithinAnEventOrAComment(String stream) {
		assertThat(endsWithinEvent(stream)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "\n", ": ping\n", ": ping\n\n", "id: 1\n" })
	void aStreamThatMustNotBeEmptyIsBrokenOffBeforeTheEndOfItsFirstEvent(String stream) {
		assertThat(boundaryAfter(stream).isBrokenOff(false)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "data: a\n\n", ": ping\n\ndata: a\n\n", "data: a\n\n: ping\n" })
	void aStreamThatMustNotBeEmptyMayEndAfterAnEvent(String stream) {
		assertThat(boundaryAfter(stream).isBrokenOff(false)).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\n", "data: a\n\nHTTP/1.0 503 Full\r\nSeal: s\r\n\r\n",
			": ping\nHTTP/1.1 200 OK\r\n\r\ndata: a\n\n" })
	void aStreamThatIsFollowedByAnotherResponseIsBrokenOff(String stream) {
		assertThat(boundaryAfter(stream).isFollowedByResponse()).isTrue();
		assertThat(endsWithinEvent(stream)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "data: HTTP/1.1 200 OK\n\n", "data: a\nHTTP/1.1: b\n\n", "HTTP: a\n\n", ": HTTP/1.1\n\n" })
	void anEventMayNameTheProtocol(String stream) {
		assertThat(boundaryAfter(stream).isFollowedByResponse()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "text/event-stream", "Text/Event-Stream", "text/event-stream; charset=utf-8" })
	void recognisesTheMediaTypeWithParameters(String contentType) {
		assertThat(EventBoundary.isEventStream(contentType)).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "application/json", "text/event-streams" })
	void otherMediaTypesAreNoEventStreams(String contentType) {
		assertThat(EventBoundary.isEventStream(contentType)).isFalse();
	}

}
