/**
 * Claims on idempotency keys, which ensure that non-idempotent requests run at most once.
 */
package org.comfreywall.common.claim;
