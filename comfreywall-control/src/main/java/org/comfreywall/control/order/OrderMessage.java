package org.comfreywall.control.order;

/**
 * A message between the leader and a sidecar about an order to an engine.
 */
public sealed interface OrderMessage permits EngineOrder, OrderReply {

}
