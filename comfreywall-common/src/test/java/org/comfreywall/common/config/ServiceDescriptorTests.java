package org.comfreywall.common.config;

import java.util.List;

import org.comfreywall.common.id.ServiceId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServiceDescriptor}.
 */
class ServiceDescriptorTests {

	private final ServiceDescriptor booking = new ServiceDescriptor(ServiceId.of("booking"), ServiceKind.PLAIN,
			"/booking", List.of("GET /booking/schedule"), true);

	@Test
	void treatsListedRequestsAsIdempotent() {
		assertThat(this.booking.isIdempotent("GET", "/booking/schedule")).isTrue();
		assertThat(this.booking.isIdempotent("GET", "/booking/schedule/today")).isTrue();
	}

	@Test
	void treatsOtherRequestsAsNonIdempotent() {
		assertThat(this.booking.isIdempotent("POST", "/booking/schedule")).isFalse();
		assertThat(this.booking.isIdempotent("GET", "/booking/scheduled")).isFalse();
	}

}
