/** Netty and protobuf between entry daemons; the generated messages are committed. */
package org.sassafraslink.wire;
