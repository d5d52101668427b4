package org.comfreywall.common.result;

import java.util.Optional;
import java.util.function.Function;

/**
 * The result of an operation: either a value or an error.
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> permits Success, Failure {

	/**
	 * Creates a successful result.
	 * @param <T> the type of the value
	 * @param value the value, not {@code null}
	 * @return the result
	 */
	static <T> Result<T> success(T value) {
		return new Success<>(value);
	}

	/**
	 * Creates a failed result.
	 * @param <T> the type of the missing value
	 * @param error the error, not {@code null}
	 * @return the result
	 */
	static <T> Result<T> failure(OperationError error) {
		return new Failure<>(error);
	}

	/**
	 * Returns the value.
	 * @return the value, or empty if the operation failed
	 */
	Optional<T> value();

	/**
	 * Returns the error.
	 * @return the error, or empty if the operation succeeded
	 */
	Optional<OperationError> error();

	/**
	 * Converts the value of a success; returns a failure unchanged.
	 * @param <R> the type of the converted value
	 * @param mapper the conversion, which must not return {@code null}
	 * @return the converted result
	 */
	<R> Result<R> map(Function<? super T, ? extends R> mapper);

	/**
	 * Runs another operation on the value of a success; returns a failure unchanged.
	 * @param <R> the type of the next operation's value
	 * @param mapper the next operation
	 * @return the next operation's result, or this error
	 */
	<R> Result<R> flatMap(Function<? super T, Result<R>> mapper);

}
