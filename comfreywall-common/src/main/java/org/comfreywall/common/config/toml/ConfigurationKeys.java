package org.comfreywall.common.config.toml;

import java.util.List;
import java.util.regex.Pattern;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.config.ServiceKind;
import org.comfreywall.common.toml.KeyDescriptor;
import org.comfreywall.common.toml.TableDescriptor;
import org.comfreywall.common.toml.ValueType;
import org.comfreywall.common.toml.ValueTypes;

/**
 * The descriptors of all keys of the configuration.
 */
public final class ConfigurationKeys {

	/** The maximum number of API keys per client account. */
	private static final int MAX_KEYS = 16;

	private static final int MAX_SERVICES = 1_000;

	private static final int MAX_IDEMPOTENT_REQUESTS = 1_000;

	private static final long MAX_LIMIT = 1_000_000_000L;

	private static final double MAX_WEIGHT = 1e9;

	private static final ValueType<String> PATH = ValueTypes.pattern("URL path",
			Pattern.compile("/[A-Za-z0-9._~/-]{0,255}"),
			"a slash, then up to 255 letters, digits, '.', '_', '~', '-' and '/'");

	private static final ValueType<String> REQUEST = ValueTypes.pattern("request",
			Pattern.compile("[A-Z]{3,10} /[A-Za-z0-9._~/-]{0,255}"),
			"an HTTP method in capitals, a space and a path prefix, such as \"GET /schedule\"");

	private static final ValueType<String> KEY_HASH = ValueTypes
		.pattern("SHA-256", Pattern.compile("[0-9a-f]{64}"),
				"the SHA-256 digest of an API key, 64 lower-case hexadecimal digits; never the key itself")
		.asSecret();

	static final KeyDescriptor<String> DOMAIN_NAME = KeyDescriptor.required("name", ValueTypes.name(),
			"The failure domain's name.");

	static final KeyDescriptor<String> REGION = KeyDescriptor.required("region", ValueTypes.name(),
			"The region it is in.");

	static final KeyDescriptor<String> SERVICE_NAME = KeyDescriptor.required("name", ValueTypes.name(),
			"The service's name; for a model, the name by which callers ask for it.");

	static final KeyDescriptor<ServiceKind> KIND = KeyDescriptor.required("kind", ValueTypes.oneOf(ServiceKind.class),
			"Whether it is a language model behind the chat-completion API or a plain HTTP service.");

	static final KeyDescriptor<String> PATH_PREFIX = KeyDescriptor.required("path-prefix", PATH,
			"The path under which callers reach it; models may share one.");

	static final KeyDescriptor<List<String>> IDEMPOTENT_REQUESTS = KeyDescriptor.withDefault("idempotent-requests",
			ValueTypes.listOf(REQUEST, 0, MAX_IDEMPOTENT_REQUESTS), "[]",
			"The requests that may be run more than once; all others run at most once.");

	static final KeyDescriptor<Boolean> KEY_REQUIRED = KeyDescriptor.withDefault("key-required", ValueTypes.bool(),
			"true", "Whether a non-idempotent request without an idempotency key is refused.");

	static final KeyDescriptor<String> ACCOUNT_NAME = KeyDescriptor.required("name", ValueTypes.name(),
			"The client account's name.");

	static final KeyDescriptor<List<String>> KEY_HASHES = KeyDescriptor.withDefault("key-hashes",
			ValueTypes.listOf(KEY_HASH, 0, MAX_KEYS), "[]",
			"The digests of the account's API keys; an account without one is not let in.");

	static final KeyDescriptor<Long> REQUESTS = KeyDescriptor.required("requests-per-second",
			ValueTypes.integer(1, MAX_LIMIT).withUnit("requests/s"), "Requests admitted over all entries together.");

	static final KeyDescriptor<Long> TOKENS = KeyDescriptor.required("tokens-per-second",
			ValueTypes.integer(1, MAX_LIMIT).withUnit("tokens/s"),
			"Tokens, prompt and generated, admitted over all entries together.");

	static final KeyDescriptor<Long> IN_FLIGHT = KeyDescriptor.required("in-flight",
			ValueTypes.integer(1, MAX_LIMIT).withUnit("requests"), "Requests in flight at one time.");

	static final KeyDescriptor<PriorityClass> HIGHEST_CLASS = KeyDescriptor.withDefault("highest-class",
			ValueTypes.oneOf(PriorityClass.class), "\"standard\"",
			"The highest priority class the account may ask for.");

	static final KeyDescriptor<List<String>> SERVICES = KeyDescriptor.required("services",
			ValueTypes.listOf(ValueTypes.name(), 1, MAX_SERVICES), "The services the account may call.");

	static final KeyDescriptor<String> GROUP_NAME = KeyDescriptor.required("name", ValueTypes.name(),
			"The group's name.");

	static final KeyDescriptor<String> GROUP_SERVICE = KeyDescriptor.required("service", ValueTypes.name(),
			"The model that the group serves.");

	static final KeyDescriptor<Integer> RANKS = KeyDescriptor.required("ranks", count(1_024), "The number of ranks.");

	static final KeyDescriptor<Integer> EXPERTS = KeyDescriptor.required("experts", count(4_096),
			"The number of experts a layer.");

	static final KeyDescriptor<Integer> LAYERS = KeyDescriptor.required("layers", count(1_024),
			"The number of layers with experts.");

	static final KeyDescriptor<Integer> SLOTS = KeyDescriptor.required("slots-per-rank", count(4_096),
			"The number of experts a layer that a rank has memory for; ranks * slots-per-rank is at least experts.");

	static final KeyDescriptor<Double> SKEW_WEIGHT = KeyDescriptor.required("skew-weight",
			ValueTypes.decimal(0, MAX_WEIGHT), "The price of one unit of expected step-time skew above 1.");

	static final KeyDescriptor<Double> MOVE_WEIGHT = KeyDescriptor.required("move-weight",
			ValueTypes.decimal(0, MAX_WEIGHT).withUnit("per GiB"),
			"The price of one gibibyte read from the weight store.");

	static final KeyDescriptor<Boolean> CHECKS_FENCING = KeyDescriptor.withDefault("engine-checks-fencing",
			ValueTypes.bool(), "false", "Whether the engines refuse orders with old fencing numbers.");

	/** The failure-domain section. */
	public static final TableDescriptor FAILURE_DOMAIN = TableDescriptor.repeated("failure-domain",
			"Instances that can fail together.", DOMAIN_NAME, REGION);

	/** The service section. */
	public static final TableDescriptor SERVICE = TableDescriptor.repeated("service",
			"What backend servers offer to client accounts.", SERVICE_NAME, KIND, PATH_PREFIX, IDEMPOTENT_REQUESTS,
			KEY_REQUIRED);

	/** The client-account section. */
	public static final TableDescriptor ACCOUNT = TableDescriptor.repeated("client-account",
			"Who sends requests, with limits.", ACCOUNT_NAME, KEY_HASHES, REQUESTS, TOKENS, IN_FLIGHT, HIGHEST_CLASS,
			SERVICES);

	/** The section of expert-parallel groups. */
	public static final TableDescriptor GROUP = TableDescriptor.repeated("group",
			"Ranks that run one model in lock-step.", GROUP_NAME, GROUP_SERVICE, RANKS, EXPERTS, LAYERS, SLOTS,
			SKEW_WEIGHT, MOVE_WEIGHT, CHECKS_FENCING);

	/** The whole document. */
	public static final TableDescriptor DOCUMENT = TableDescriptor.document(
			"The configuration shared by all instances.", List.of(), List.of(FAILURE_DOMAIN, SERVICE, ACCOUNT, GROUP));

	private ConfigurationKeys() {
	}

	private static ValueType<Integer> count(int max) {
		return ValueTypes.integer(1, max).map(Long::intValue);
	}

}
