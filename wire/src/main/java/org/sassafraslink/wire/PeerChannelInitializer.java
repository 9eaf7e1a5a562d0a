package org.sassafraslink.wire;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.util.function.BiConsumer;
import org.sassafraslink.wire.generated.Envelope;

/**
 * Sets up a connection between peers, which carries protobuf messages in length-prefixed frames.
 */
final class PeerChannelInitializer extends ChannelInitializer<Channel> {
  /** Bound on the size of a frame, in bytes; a whole configuration is sent in one frame. */
  static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

  private static final int LENGTH_FIELD_BYTES = 4;

  private final BiConsumer<Channel, Envelope> onMessage;

  PeerChannelInitializer(BiConsumer<Channel, Envelope> onMessage) {
    this.onMessage = onMessage;
  }

  @Override
  protected void initChannel(Channel channel) {
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(
                MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
        .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
        .addLast(new ProtobufEncoder())
        .addLast(new MessageHandler(onMessage));
  }

  /**
   * Passes each message to {@code onMessage}, and closes the connection if a frame cannot be
   * decoded or a handler fails.
   */
  private static final class MessageHandler extends SimpleChannelInboundHandler<Envelope> {
    private final BiConsumer<Channel, Envelope> onMessage;

    MessageHandler(BiConsumer<Channel, Envelope> onMessage) {
      this.onMessage = onMessage;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
      onMessage.accept(context.channel(), message);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
