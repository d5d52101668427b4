/**
 * Randomised run and trace replay of the life of requests, in virtual time.
 */
package org.comfreywall.bench.request;
