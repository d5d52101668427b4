package org.comfreywall.control.state;

/**
 * The answer to a change, cached for resends.
 *
 * @param digest the SHA-256 digest of the encoded change, which detects a change id that
 * is reused for other content
 * @param answer the answer
 */
record CachedAnswer(String digest, ChangeAnswer answer) {

}
