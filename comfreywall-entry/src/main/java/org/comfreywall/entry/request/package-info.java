/**
 * Request handling at an entry: claims, attempts, retries, isolated runs and the outcome
 * reported to the caller.
 */
package org.comfreywall.entry.request;
