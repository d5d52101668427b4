package org.comfreywall.common.metrics;

import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.comfreywall.common.decision.Field;

/**
 * Samples what a process used since the previous sample: processor time by thread, time
 * in garbage collection, and heap. Not thread-safe.
 */
public final class ProcessLoadSampler {

	private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

	private final Map<Long, Long> processorNanosByThread = new HashMap<>();

	private long collectionMillis;

	/**
	 * Takes a sample.
	 * @return fields for a log line: {@code cpu-ms} over all live threads,
	 * {@code threads} with milliseconds by thread name, {@code gc-ms} and {@code heap-mb}
	 */
	public List<Field> sample() {
		Map<String, Long> millisByName = new TreeMap<>();
		long total = 0;
		for (long id : this.threads.getAllThreadIds()) {
			long nanos = Math.max(0, this.threads.getThreadCpuTime(id));
			long used = nanos - this.processorNanosByThread.getOrDefault(id, 0L);
			this.processorNanosByThread.put(id, nanos);
			long millis = TimeUnit.NANOSECONDS.toMillis(used);
			total += millis;
			ThreadInfo info = this.threads.getThreadInfo(id);
			if (millis > 0 && info != null) {
				millisByName.merge(info.getThreadName(), millis, Long::sum);
			}
		}
		long collections = collectionMillis();
		Runtime runtime = Runtime.getRuntime();
		List<Field> fields = List.of(Field.of("cpu-ms", total), Field.of("threads", millisByName),
				Field.of("gc-ms", collections - this.collectionMillis),
				Field.of("heap-mb", (runtime.totalMemory() - runtime.freeMemory()) >> 20));
		this.collectionMillis = collections;
		return fields;
	}

	private static long collectionMillis() {
		return ManagementFactory.getGarbageCollectorMXBeans()
			.stream()
			.mapToLong(GarbageCollectorMXBean::getCollectionTime)
			.sum();
	}

}
