package org.comfreywall.gateway.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Exchange of the numbers of requests in flight between entries. Most updates carry only
 * the numbers that have changed: with hundreds of servers the others would be most of the
 * traffic between entries. A lost change is corrected by the next full update.
 */
final class InFlightExchange {

	private Map<String, Integer> sent = Map.of();

	private final Map<String, Map<String, Integer>> received = new HashMap<>();

	/**
	 * Returns what to send.
	 * @param full whether the update is a full one
	 * @param present the present number of this entry's requests by server
	 * @return all numbers in a full update, otherwise those that have changed since the
	 * last one, with 0 for servers without requests
	 */
	Map<String, Integer> numbersToSend(boolean full, Map<String, Integer> present) {
		Map<String, Integer> before = this.sent;
		this.sent = Map.copyOf(present);
		if (full) {
			return this.sent;
		}
		Map<String, Integer> changed = new HashMap<>();
		Set<String> servers = new HashSet<>(before.keySet());
		servers.addAll(present.keySet());
		for (String server : servers) {
			int requests = present.getOrDefault(server, 0);
			if (requests != before.getOrDefault(server, 0)) {
				changed.put(server, requests);
			}
		}
		return changed;
	}

	/**
	 * Applies what another entry has sent.
	 * @param instance the entry's instance
	 * @param full whether the update is a full one
	 * @param numbers the numbers in the update
	 * @return the number of the entry's requests by server
	 */
	Map<String, Integer> apply(String instance, boolean full, Map<String, Integer> numbers) {
		Map<String, Integer> present = this.received.computeIfAbsent(instance, (added) -> new HashMap<>());
		if (full) {
			present.clear();
		}
		numbers.forEach((server, requests) -> {
			if (requests > 0) {
				present.put(server, requests);
			}
			else {
				present.remove(server);
			}
		});
		return Map.copyOf(present);
	}

	/**
	 * Forgets all other entries.
	 * @param instances the instances of the entries that are still known
	 */
	void retain(Set<String> instances) {
		this.received.keySet().retainAll(instances);
	}

}
