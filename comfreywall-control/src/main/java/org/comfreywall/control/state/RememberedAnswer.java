package org.comfreywall.control.state;

/**
 * The first answer to a change, kept for a resend.
 *
 * @param digest the digest of the change
 * @param answer the answer
 */
record RememberedAnswer(String digest, ChangeAnswer answer) {

}
