package org.comfreywall.common.result;

import java.util.Optional;
import java.util.function.Function;

import org.comfreywall.common.util.Preconditions;

/**
 * The result of an operation that failed.
 *
 * @param <T> the type of the missing value
 * @param reason the error
 */
public record Failure<T>(OperationError reason) implements Result<T> {

	public Failure {
		Preconditions.notNull(reason, "reason");
	}

	@Override
	public Optional<T> value() {
		return Optional.empty();
	}

	@Override
	public Optional<OperationError> error() {
		return Optional.of(this.reason);
	}

	@Override
	public <R> Result<R> map(Function<? super T, ? extends R> mapper) {
		return new Failure<>(this.reason);
	}

	@Override
	public <R> Result<R> flatMap(Function<? super T, Result<R>> mapper) {
		return new Failure<>(this.reason);
	}

}
