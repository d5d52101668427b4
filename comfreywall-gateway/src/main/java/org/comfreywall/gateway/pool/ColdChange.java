package org.comfreywall.gateway.pool;

import java.time.Duration;

/**
 * A backend server that has turned cold or is warm again, for logs.
 *
 * @param server the latest announcement of the server
 * @param left the time that it stays cold; zero if it is warm
 */
public record ColdChange(ServerAnnouncement server, Duration left) {
}
