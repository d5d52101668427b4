package org.comfreywall.common.config;

/**
 * Kinds of services.
 */
public enum ServiceKind {

	/** A language model behind the chat-completion API. */
	MODEL,
	/** Any other HTTP service. */
	PLAIN

}
