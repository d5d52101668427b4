package org.comfreywall.common.result;

import java.util.Optional;
import java.util.function.Function;

import org.comfreywall.common.util.Preconditions;

/**
 * The result of an operation that succeeded.
 *
 * @param <T> the type of the value
 * @param get the value
 */
public record Success<T>(T get) implements Result<T> {

	public Success {
		Preconditions.notNull(get, "get");
	}

	@Override
	public Optional<T> value() {
		return Optional.of(this.get);
	}

	@Override
	public Optional<OperationError> error() {
		return Optional.empty();
	}

	@Override
	public <R> Result<R> map(Function<? super T, ? extends R> mapper) {
		return new Success<>(mapper.apply(this.get));
	}

	@Override
	public <R> Result<R> flatMap(Function<? super T, Result<R>> mapper) {
		return mapper.apply(this.get);
	}

}
