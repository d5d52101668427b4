package org.comfreywall.daemon.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.config.ServiceDescriptor;
import org.comfreywall.common.config.ServiceKind;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.lease.LeaseTerms;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * Authenticates and validates an HTTP request and resolves the service it addresses.
 */
final class RequestResolver {

	static final String CHAT_PATH = "/v1/chat/completions";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int ESTIMATED_BYTES_PER_TOKEN = 4;

	private static final int DEFAULT_MAX_TOKENS = 512;

	private static final int MAX_KEY_LENGTH = 200;

	private static final Duration DEFAULT_TIMEOUT = Duration.ofMinutes(1);

	private static final Duration MAX_TIMEOUT = LeaseTerms.DEFAULT.longestRequest();

	private final Supplier<Configuration> configuration;

	private final Supplier<RequestId> ids;

	RequestResolver(Supplier<Configuration> configuration, Supplier<RequestId> ids) {
		this.configuration = Preconditions.notNull(configuration, "configuration");
		this.ids = Preconditions.notNull(ids, "ids");
	}

	Result<CallerRequest> resolve(HttpServerRequest http, Bytes body) {
		Configuration current = this.configuration.get();
		Optional<AccountDescriptor> account = Authenticator.authenticate(current, http.getHeader("Authorization"));
		if (account.isEmpty()) {
			return Result.failure(OperationError.local(ErrorCode.UNAUTHENTICATED, Step.AUTHENTICATE,
					"missing or unknown API key; send the header 'Authorization: Bearer KEY'"));
		}
		return service(current, http, body).flatMap((service) -> resolve(http, body, account.get(), service));
	}

	private Result<CallerRequest> resolve(HttpServerRequest http, Bytes body, AccountDescriptor account,
			ServiceDescriptor service) {
		if (!account.services().contains(service.id())) {
			return invalid(ErrorCode.NOT_FOUND,
					"client account " + account.id() + " has no access to service " + service.id());
		}
		boolean idempotent = service.isIdempotent(http.method().name(), http.path());
		String key = http.getHeader("Idempotency-Key");
		if (!idempotent && key == null && service.keyRequired()) {
			return invalid(ErrorCode.INVALID_INPUT,
					"a request that is not idempotent requires an Idempotency-Key header");
		}
		if (key != null && (key.isBlank() || key.length() > MAX_KEY_LENGTH)) {
			return invalid(ErrorCode.INVALID_INPUT,
					"Idempotency-Key must be non-blank and have 1 to " + MAX_KEY_LENGTH + " characters");
		}
		return timeout(http.headers())
			.flatMap((timeout) -> priority(http.headers(), account).map((priority) -> new CallerRequest(this.ids.get(),
					account.id(), service.id(), http.method().name(), http.uri(), contentType(http), body, idempotent,
					service.keyRequired(), Optional.ofNullable(key).map(IdempotencyKey::of), priority, timeout,
					promptTokens(service, body), maxTokens(service, body))));
	}

	private static Result<ServiceDescriptor> service(Configuration configuration, HttpServerRequest http, Bytes body) {
		if (http.path().equals(CHAT_PATH)) {
			return model(body).flatMap((model) -> chatService(configuration, model));
		}
		return configuration.services()
			.stream()
			.filter((service) -> service.kind() == ServiceKind.PLAIN && matchesPrefix(service, http.path()))
			.max(Comparator.comparingInt((service) -> service.pathPrefix().length()))
			.map(Result::success)
			.orElseGet(() -> invalid(ErrorCode.NOT_FOUND, "no service is configured for path " + http.path()));
	}

	private static boolean matchesPrefix(ServiceDescriptor service, String path) {
		String prefix = service.pathPrefix();
		return path.startsWith(prefix)
				&& (path.length() == prefix.length() || prefix.endsWith("/") || path.charAt(prefix.length()) == '/');
	}

	private static Result<ServiceDescriptor> chatService(Configuration configuration, String model) {
		return configuration.service(ServiceId.of(model))
			.filter((service) -> service.kind() == ServiceKind.MODEL)
			.map(Result::success)
			.orElseGet(() -> invalid(ErrorCode.NOT_FOUND, "unknown model: " + model));
	}

	private static Result<String> model(Bytes body) {
		try {
			JsonNode model = MAPPER.readTree(body.toArray()).path("model");
			if (model.isTextual() && !model.textValue().isBlank()) {
				return Result.success(model.textValue());
			}
			return invalid(ErrorCode.INVALID_INPUT, "the field 'model' of the body must be a non-blank string");
		}
		catch (IOException ex) {
			return invalid(ErrorCode.INVALID_INPUT, "the request body is not valid JSON");
		}
	}

	private static long promptTokens(ServiceDescriptor service, Bytes body) {
		return (service.kind() == ServiceKind.MODEL) ? body.length() / ESTIMATED_BYTES_PER_TOKEN : 0;
	}

	private static long maxTokens(ServiceDescriptor service, Bytes body) {
		if (service.kind() != ServiceKind.MODEL) {
			return 0;
		}
		try {
			return Math.max(1, MAPPER.readTree(body.toArray()).path("max_tokens").asLong(DEFAULT_MAX_TOKENS));
		}
		catch (IOException ex) {
			return DEFAULT_MAX_TOKENS;
		}
	}

	private static Result<Duration> timeout(MultiMap headers) {
		String text = headers.get("Comfreywall-Timeout-Ms");
		if (text == null) {
			return Result.success(DEFAULT_TIMEOUT);
		}
		try {
			Duration timeout = Duration.ofMillis(Long.parseLong(text.trim()));
			if (!timeout.isNegative() && !timeout.isZero() && timeout.compareTo(MAX_TIMEOUT) <= 0) {
				return Result.success(timeout);
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with values out of range.
		}
		return invalid(ErrorCode.INVALID_INPUT,
				"Comfreywall-Timeout-Ms must be an integer from 1 to " + MAX_TIMEOUT.toMillis());
	}

	private static Result<PriorityClass> priority(MultiMap headers, AccountDescriptor account) {
		String text = headers.get("Comfreywall-Priority");
		if (text == null) {
			return Result.success(capPriority(PriorityClass.STANDARD, account.highestClass()));
		}
		for (PriorityClass priority : PriorityClass.values()) {
			if (priority.name().equals(text.trim().toUpperCase(Locale.ROOT))) {
				return Result.success(capPriority(priority, account.highestClass()));
			}
		}
		return invalid(ErrorCode.INVALID_INPUT, "Comfreywall-Priority must be interactive, standard or batch");
	}

	private static PriorityClass capPriority(PriorityClass requested, PriorityClass highest) {
		return (requested.compareTo(highest) < 0) ? highest : requested;
	}

	private static String contentType(HttpServerRequest http) {
		String type = http.getHeader("Content-Type");
		return (type != null) ? type : "";
	}

	private static <T> Result<T> invalid(ErrorCode code, String message) {
		return Result.failure(OperationError.local(code, Step.ACCEPT, message));
	}

}
